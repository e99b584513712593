/** Dependency injection container of the controller process. */
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix';
import { connectPlatform, type Platform } from '@baobabdeck/platform';
import { startRuntime, type ProgramParts, type Runtime } from '@baobabdeck/process';

interface Cradle extends ProgramParts {
  readonly platform: Platform;
  readonly runtime: Promise<Runtime>;
}

/** Starts a controller with the given settings, metrics and event log. Rejects if the controller cannot start. */
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
