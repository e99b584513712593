/** `baobabdeck explain`: what was decided about something, when, by whom and why. */
import { Command, Option } from 'clipanion';
import * as typanion from 'typanion';
import {
  explainHost,
  explainJob,
  explainPool,
  explainWave,
  type Explanation,
  type FleetState,
} from '@baobabdeck/core';
import { failureOf } from '@baobabdeck/errors';
import { FleetCommand } from '../../fleet-command.js';
import { EXIT_DONE, printResult } from '../../output.js';

const EXPLAINERS: Readonly<Record<string, (fleet: FleetState, name: string) => Explanation | null>> = {
  host: explainHost,
  pool: explainPool,
  job: explainJob,
  wave: explainWave,
};

/** `explain host|pool|job|wave ID`. */
export class ExplainCommand extends FleetCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'tell what was decided about something, and why',
  });

  kind = Option.String({ name: 'kind', validator: typanion.isEnum(Object.keys(EXPLAINERS)) });

  subject = Option.String({ name: 'id' });

  async execute(): Promise<number> {
    return this.withFleet((fleet) => {
      const explanation = EXPLAINERS[this.kind]?.(fleet, this.subject) ?? null;
      if (explanation === null) {
        return this.fail(
          failureOf('unknownSubject', `Expected a known ${this.kind}, found '${this.subject}'`),
        );
      }
      const { now, next, history } = explanation;
      const lines = [
        explanation.subject,
        ...now.map((line) => `  ${line}`),
        'next',
        ...next.map((line) => `  ${line}`),
        'history',
        ...history.map((line) => `  ${line}`),
      ];
      printResult(this.output, explanation, lines);
      return EXIT_DONE;
    });
  }
}
