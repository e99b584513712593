/** What every command that talks to the platform has in common. */
import { Command, Option } from 'clipanion';
import type { FleetState } from '@baobabdeck/core';
import { failureOf, type Failure, type Result } from '@baobabdeck/errors';
import { readFleet } from '@baobabdeck/fold-reader';
import { connectPlatform, type Platform } from '@baobabdeck/platform';
import type { RecordBody } from '@baobabdeck/types';
import { sendCommand, type Accepted } from './fleet-access.js';
import { EXIT_BAD_INPUT, EXIT_DONE, printFailure, printResult, type Output } from './output.js';

/** A command with the options of all that read the fleet. */
export abstract class FleetCommand extends Command {
  /** Print JSON for programs. */
  json = Option.Boolean('--json', false, { description: 'print JSON' });

  /** Where the platform listens. */
  platformUrl = Option.String('--platform', process.env.BAOBABDECK_PLATFORM_URL ?? '', {
    description: 'URL of the platform; BAOBABDECK_PLATFORM_URL by default',
  });

  /** Where and how results are printed. */
  protected get output(): Output {
    return { stdout: this.context.stdout, stderr: this.context.stderr, json: this.json };
  }

  /** Runs with a connection to the platform. */
  protected async withPlatform(run: (platform: Platform) => Promise<number>): Promise<number> {
    if (!URL.canParse(this.platformUrl)) {
      const failure = failureOf(
        'invalidUsage',
        `Expected --platform URL or BAOBABDECK_PLATFORM_URL, found '${this.platformUrl}'`,
      );
      printFailure(this.output, failure);
      return EXIT_BAD_INPUT;
    }
    const platform = connectPlatform(this.platformUrl);
    try {
      return await run(platform);
    } finally {
      await platform.close();
    }
  }

  /** Runs with the fleet as the log has it now. */
  protected async withFleet(
    run: (fleet: FleetState, platform: Platform) => Promise<number> | number,
  ): Promise<number> {
    return this.withPlatform(async (platform) => {
      const fleet = await readFleet(platform);
      return fleet.ok ? run(fleet.value, platform) : this.fail(fleet.failure);
    });
  }

  /** Prints a failure and gives its exit code. */
  protected fail(failure: Failure): number {
    return printFailure(this.output, failure);
  }
}

/** A command that changes the fleet. */
export abstract class ChangeCommand extends FleetCommand {
  /** Repeats a command whose answer was lost. */
  commandId = Option.String('--command-id', { description: 'repeat a command whose answer was lost' });

  /** Sends a command and tells what became of it. */
  protected async send(platform: Platform, fleet: FleetState, body: RecordBody): Promise<Result<Accepted>> {
    return sendCommand(platform, body, fleet.nextOffset, this.commandId);
  }

  /** Sends a command, prints its outcome and gives the exit code. */
  protected async sendAndPrint(
    platform: Platform,
    fleet: FleetState,
    body: RecordBody,
    done: string,
  ): Promise<number> {
    const result = await this.send(platform, fleet, body);
    if (!result.ok) return this.fail(result.failure);
    const { commandId, verdict } = result.value;
    printResult(this.output, { commandId, offset: verdict.offset }, [
      `${done} (offset ${verdict.offset}, command ${commandId})`,
    ]);
    return EXIT_DONE;
  }
}
