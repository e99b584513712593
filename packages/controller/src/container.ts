/** Builds the controller from its parts. */
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix';
import { connectPlatform, type Platform } from '@baobabdeck/platform';
import { startRuntime, type ProgramParts, type Runtime } from '@baobabdeck/process';

interface Cradle extends ProgramParts {
  readonly platform: Platform;
  readonly runtime: Promise<Runtime>;
}

/** Starts the controller of a program. */
export function buildController(parts: ProgramParts): Promise<Runtime> {
  const container = createContainer<Cradle>({ injectionMode: InjectionMode.PROXY, strict: true });
  container.register({
    settings: asValue(parts.settings),
    metrics: asValue(parts.metrics),
    writeEvent: asValue(parts.writeEvent),
    platform: asFunction(({ settings }: Cradle) => connectPlatform(settings['platform-url'])).singleton(),
    runtime: asFunction(({ settings, platform, metrics, writeEvent }: Cradle) =>
      startRuntime({
        role: 'controller',
        settings,
        platform,
        metrics,
        writeEvent,
        performOther: () => undefined,
      }),
    ).singleton(),
  });
  return container.cradle.runtime;
}
