/** Dependency injection container of the gateway process. */
import { asFunction, asValue, createContainer, InjectionMode } from 'awilix';
import { createTracing, type Tracing } from '@baobabdeck/observability';
import { connectPlatform, type Platform } from '@baobabdeck/platform';
import type { ProgramParts } from '@baobabdeck/process';
import { startGateway, type Gateway } from './gateway.js';

interface Cradle extends ProgramParts {
  readonly platform: Platform;
  readonly tracing: Tracing;
  readonly gateway: Promise<Gateway>;
}

/** Starts a gateway with the given settings, metrics and event log. Rejects if the gateway cannot start. */
export function buildGateway(parts: ProgramParts): Promise<Gateway> {
  const container = createContainer<Cradle>({ injectionMode: InjectionMode.PROXY, strict: true });
  container.register({
    settings: asValue(parts.settings),
    metrics: asValue(parts.metrics),
    writeEvent: asValue(parts.writeEvent),
    platform: asFunction(({ settings }: Cradle) => connectPlatform(settings['platform-url'])).singleton(),
    tracing: asFunction(({ settings }: Cradle) =>
      createTracing({ program: 'baobabdeck-gateway', otlpUrl: settings['otlp-url'] }),
    ).singleton(),
    gateway: asFunction(startGateway).singleton(),
  });
  return container.cradle.gateway;
}
