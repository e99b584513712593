import { randomUUID } from 'node:crypto';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe } from '@baobabdeck/test-tools';
import type { ExecutionContext } from 'ava';
import { startFaultProxy, type FaultProxy } from '../fault-proxy.js';
import type { PoolLayout } from '../layout.js';
import { isReady, startSystem, waitUntil, type LocalSystem, type SystemOptions } from '../system.js';
import { findHostFaults, findReportedViolations, findUntruths, send, type SentRequest } from '../traffic.js';

const POOL: PoolLayout = { name: 'orders', hosts: 6, maximumAbsentHosts: 3, failureReserveHosts: 1 };
const SIX: SystemOptions = { pools: [POOL], gateways: 6, controllers: 6 };
const THREE: SystemOptions = { pools: [POOL], gateways: 3, controllers: 2 };

async function withSystem(
  options: SystemOptions,
  run: (system: LocalSystem) => Promise<void>,
): Promise<void> {
  const system = await startSystem(options);
  try {
    await run(system);
  } finally {
    await system.close();
  }
}

function judge(t: ExecutionContext, system: LocalSystem, sent: readonly SentRequest[]): void {
  t.deepEqual(findUntruths(system, sent), []);
  t.deepEqual(findReportedViolations(system), []);
  t.deepEqual(findHostFaults(system), []);
}

function pick<T>(items: readonly T[], index: number): T {
  return items[index % items.length] as T;
}

/** Sends orders, each under a key at two gateways at once, until told to end. */
function startOrders(system: LocalSystem, milliseconds: number) {
  const sent: Promise<SentRequest>[] = [];
  let over = false;
  const run = async (): Promise<void> => {
    for (let index = 0; !over; index += 1) {
      const workId = randomUUID();
      const headers = { 'idempotency-key': workId, 'baobabdeck-caller': 'test' };
      const urls = system.gatewayUrls();
      [0, 1].forEach((step) =>
        sent.push(
          send({
            url: `${pick(urls, index + step)}/orders/order?ms=${milliseconds}`,
            method: 'POST',
            headers,
            workId,
          }),
        ),
      );
      sent.push(send({ url: `${pick(urls, index)}/orders/question?ms=${milliseconds}` }));
      await sleep(30);
    }
  };
  const running = run();
  return async (): Promise<readonly SentRequest[]> => {
    over = true;
    await running;
    return Promise.all(sent);
  };
}

describe('real processes under faults', ({ itSerially }) => {
  itSerially('lose a gateway under load and run nothing twice', async (t) => {
    await withSystem(SIX, async (system) => {
      const end = startOrders(system, 100);
      await sleep(1_500);
      system.gateways[0]?.child.kill('SIGKILL');
      await sleep(9_000);
      const sent = await end();
      judge(t, system, sent);
      const late = sent.slice(-60);
      t.true(
        late.every((one) => one.status === 200),
        JSON.stringify(late.filter((one) => one.status !== 200)),
      );
    });
  });

  itSerially('pause a gateway with work in hand, repeat it elsewhere, and wake it', async (t) => {
    await withSystem(THREE, async (system) => {
      const end = startOrders(system, 400);
      await sleep(1_000);
      system.gateways[1]?.child.kill('SIGSTOP');
      await sleep(7_000);
      system.gateways[1]?.child.kill('SIGCONT');
      await sleep(3_000);
      judge(t, system, await end());
    });
  });

  itSerially('serve on through an outage of the log, and refuse keys truthfully', async (t) => {
    await withSystem(THREE, async (system) => {
      const [url = ''] = system.gatewayUrls();
      await system.setFaults({ down: true });
      await sleep(4_000);
      const plain = await Promise.all(
        Array.from({ length: 20 }, () => send({ url: `${url}/orders/question?ms=20` })),
      );
      t.deepEqual([...new Set(plain.map((one) => one.status))], [200]);
      const key = randomUUID();
      const order = {
        url: `${url}/orders/order`,
        method: 'POST',
        headers: { 'idempotency-key': key },
        workId: key,
      } as const;
      const refused = await send(order);
      t.deepEqual([refused.code, refused.ran], [1013, 'no']);
      const command = await system.command('host', 'drain', 'orders-1', '--json');
      t.is(command.code, 1);
      await system.setFaults({ down: false });
      await waitUntil('every gateway is ready', async () =>
        (await Promise.all(system.gateways.map(isReady))).every(Boolean),
      );
      let repeated = await send(order);
      // The claim that was given up may still be read back; it is given back at once then.
      while (repeated.code === 1013 || repeated.code === 1006) repeated = await send(order);
      t.is(repeated.status, 200);
      judge(t, system, [...plain, refused, repeated]);
    });
  });

  itSerially('lose answers of the log and have one effect for each command and key', async (t) => {
    await withSystem(THREE, async (system) => {
      await system.setFaults({ loseAnswers: 3 });
      const drained = await system.command('host', 'drain', 'orders-1', '--command-id', 'drain-once');
      t.is(drained.code, 0, drained.stderr);
      const again = await system.command('host', 'drain', 'orders-1', '--command-id', 'drain-once');
      t.is(again.code, 0, again.stderr);
      await system.setFaults({ loseAnswers: 5 });
      const end = startOrders(system, 20);
      await sleep(2_000);
      judge(t, system, await end());
    });
  });

  itSerially('replace every gateway and controller during a wave and cut nothing off', async (t) => {
    await withSystem({ ...THREE, settings: { BAOBABDECK_DRAIN_TIMEOUT_MS: '20000' } }, async (system) => {
      const end = startOrders(system, 150);
      t.is((await system.command('maintenance', 'start', 'wave')).code, 0);
      const replace = async (
        old: (typeof system.gateways)[number],
        start: (name: string) => Promise<(typeof system.gateways)[number]>,
      ): Promise<void> => {
        const fresh = await start(`${old.name}-new`);
        await waitUntil('the replacement is ready', () => isReady(fresh));
        system.gateways.splice(0, system.gateways.length, ...system.gateways.filter((one) => one !== old));
        old.child.kill('SIGTERM');
        t.is(await old.exited, 0);
      };
      for (const old of [...system.gateways]) await replace(old, system.startGateway);
      for (const old of [...system.controllers]) await replace(old, system.startController);
      await waitUntil(
        'the wave is over',
        async () => (await system.command('maintenance', 'status', 'wave')).stdout.includes('is finished'),
        90_000,
      );
      const sent = await end();
      t.deepEqual([...new Set(sent.map((one) => `${one.status} ${one.code}`))], ['200 null']);
      judge(t, system, sent);
    });
  });

  itSerially('eject a worker that fails everything and let it prove itself again', async (t) => {
    await withSystem(THREE, async (system) => {
      const bad = system.targets.get('orders-2');
      bad?.setMode('fail');
      const sent: SentRequest[] = [];
      const EJECTED_EVENT = 303;
      const RETURNED_EVENT = 304;
      const seen = (event: number): boolean =>
        system.gateways.some((gateway) => gateway.events(event).length > 0);
      const sendSome = async (): Promise<void> => {
        const urls = system.gatewayUrls();
        sent.push(
          ...(await Promise.all(
            Array.from({ length: 40 }, (_, index) =>
              send({ url: `${pick(urls, index)}/orders/question?ms=20` }),
            ),
          )),
        );
      };
      while (!seen(EJECTED_EVENT)) await sendSome();
      const before = bad?.report().started;
      for (let round = 0; round < 5; round += 1) await sendSome();
      t.is(bad?.report().started, before, 'an ejected worker gets no work');
      bad?.setMode('normal');
      while (!seen(RETURNED_EVENT)) await sendSome();
      judge(t, system, sent);
    });
  });

  itSerially(
    'leave silent connections, and tell the truth about work that may not be repeated',
    async (t) => {
      const proxies = new Map<string, FaultProxy>();
      const first = await startFaultProxy(0);
      first.close();
      const publishedAddress = (hostId: string, address: string): string =>
        proxies.get(hostId)?.address ?? address;
      await withSystem(
        {
          ...THREE,
          pools: [{ ...POOL, hosts: 2, maximumAbsentHosts: 1, failureReserveHosts: 0 }],
          rules: { silenceTimeoutMilliseconds: 1_000, longWorkThresholdMilliseconds: 500 },
        },
        async (system) => {
          t.is(publishedAddress('orders-1', 'x'), 'x');
          const [url = ''] = system.gatewayUrls();
          system.targets.get('orders-1')?.setMode('hang');
          const questions = await Promise.all(
            Array.from({ length: 6 }, () => send({ url: `${url}/orders/question` })),
          );
          t.deepEqual([...new Set(questions.map((one) => one.status))], [200]);
          const orders = await Promise.all(
            Array.from({ length: 4 }, () =>
              send({
                url: `${url}/orders/order`,
                method: 'POST',
                headers: { 'baobabdeck-deadline-ms': '2500' },
              }),
            ),
          );
          orders
            .filter((one) => one.status !== 200)
            .forEach((one) => t.deepEqual([one.code, one.ran], [1006, 'unknown']));
          judge(t, system, [...questions, ...orders]);
        },
      );
    },
  );

  itSerially('break an answer off that its target broke off, and never complete it', async (t) => {
    await withSystem(
      { ...THREE, pools: [{ ...POOL, hosts: 2, maximumAbsentHosts: 1, failureReserveHosts: 0 }] },
      async (system) => {
        const [url = ''] = system.gatewayUrls();
        system.targets.forEach((target) => target.setMode('cut'));
        const sent = await Promise.all(
          Array.from({ length: 10 }, () => send({ url: `${url}/orders/order`, method: 'POST' })),
        );
        t.deepEqual([...new Set(sent.map((one) => one.status))], [null]);
        t.deepEqual(findReportedViolations(system), []);
      },
    );
  });

  itSerially('close a peer connection that sends garbage and harm nothing else', async (t) => {
    await withSystem(THREE, async (system) => {
      const gateway = system.gateways[0];
      const [started] = gateway?.events(101) ?? [];
      const [host, port] = String(started?.peerAddress).split(':');
      const FAULT_EVENT = 206;
      const attack = (bytes: Buffer): Promise<void> =>
        new Promise((resolve) => {
          const socket = connect({ host: host ?? '', port: Number(port) }, () => socket.write(bytes));
          socket.on('error', () => undefined);
          socket.on('close', () => resolve());
        });
      await attack(Buffer.from([0xff, 0xff, 0xff, 0xff, 1]));
      await attack(Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]));
      await attack(Buffer.from([0, 0, 0, 1, 0x01]));
      t.is(gateway?.events(FAULT_EVENT).length, 3);
      const sent = await Promise.all(
        system.gatewayUrls().map((url) => send({ url: `${url}/orders/question` })),
      );
      t.deepEqual([...new Set(sent.map((one) => one.status))], [200]);
    });
  });

  itSerially(
    'give slots back after a storm of cancellations, and not before the work is known to be over',
    async (t) => {
      await withSystem(THREE, async (system) => {
        const abort = new AbortController();
        const urls = system.gatewayUrls();
        const storm = Array.from({ length: 200 }, (_, index) =>
          send({ url: `${pick(urls, index)}/orders/question?ms=1500`, signal: abort.signal }),
        );
        await sleep(500);
        abort.abort();
        await Promise.all(storm);
        const after = await Promise.all(
          Array.from({ length: 60 }, (_, index) =>
            send({ url: `${pick(urls, index)}/orders/question?ms=20` }),
          ),
        );
        t.deepEqual([...new Set(after.map((one) => one.status))], [200]);
        judge(t, system, after);
      });
    },
  );
});
