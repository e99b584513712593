import { randomUUID } from 'node:crypto';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { describe } from '@baobabdeck/test-tools';
import type { ExecutionContext } from 'ava';
import { startFaultProxy, type FaultProxy } from '../fault-proxy.js';
import type { PoolLayout, ServiceRules } from '../layout.js';
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

async function withProxies(
  rules: Partial<ServiceRules>,
  run: (system: LocalSystem, proxies: ReadonlyMap<string, FaultProxy>) => Promise<void>,
): Promise<void> {
  const proxies = new Map<string, FaultProxy>();
  const publishedAddress = async (hostId: string, port: number): Promise<string> => {
    const proxy = await startFaultProxy(port);
    proxies.set(hostId, proxy);
    return proxy.address;
  };
  const pools = [{ ...POOL, hosts: 2, maximumAbsentHosts: 1, failureReserveHosts: 0 }];
  try {
    await withSystem({ ...THREE, pools, rules, publishedAddress }, (system) => run(system, proxies));
  } finally {
    proxies.forEach((proxy) => proxy.close());
  }
}

function sendOrders(
  url: string,
  count: number,
  headers: Readonly<Record<string, string>> = {},
): Promise<readonly SentRequest[]> {
  return Promise.all(
    Array.from({ length: count }, () => send({ url: `${url}/orders/order`, method: 'POST', headers })),
  );
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

  itSerially('leave silent connections, and tell the truth about other work', async (t) => {
    const rules = { silenceTimeoutMilliseconds: 1_000, longWorkThresholdMilliseconds: 500 };
    await withProxies(rules, async (system, proxies) => {
      const [url = ''] = system.gatewayUrls();
      const ask = (query: string, count: number): Promise<readonly SentRequest[]> =>
        Promise.all(Array.from({ length: count }, () => send({ url: `${url}/orders/question${query}` })));
      const warm = await ask('?ms=20', 8);
      proxies.get('orders-1')?.setMode('silent');
      const questions = await ask('', 6);
      t.deepEqual([...new Set([...warm, ...questions].map((one) => one.status))], [200]);
      const headers = { 'baobabdeck-deadline-ms': '2500' };
      const orders = await sendOrders(url, 6, headers);
      const unanswered = orders.filter((one) => one.status !== 200);
      t.true(unanswered.length > 0);
      unanswered.forEach((one) => t.deepEqual([one.code, one.ran], [1006, 'unknown']));
      judge(t, system, [...warm, ...questions, ...orders]);
    });
  });

  itSerially('break an answer off that its target broke off, and never complete it', async (t) => {
    await withProxies({}, async (system, proxies) => {
      const [url = ''] = system.gatewayUrls();
      proxies.forEach((proxy) => proxy.setMode('cut-answers'));
      const sent = await sendOrders(url, 10);
      // Cut within its head nothing of an answer is known; cut behind it the message breaks off.
      t.deepEqual(
        [...new Set(sent.map((one) => `${one.status} ${one.code} ${one.ran}`))],
        ['502 1008 unknown'],
      );
      system.targets.forEach((target) => target.setMode('cut'));
      proxies.forEach((proxy) => proxy.setMode('pass'));
      const halves = await sendOrders(url, 4);
      t.deepEqual([...new Set(halves.map((one) => one.status))], [null]);
      judge(t, system, [...sent, ...halves]);
    });
  });

  itSerially('take garbage for no answer, and move work that may be repeated', async (t) => {
    await withProxies({}, async (system, proxies) => {
      const [url = ''] = system.gatewayUrls();
      proxies.get('orders-1')?.setMode('garbage');
      const questions = await Promise.all(
        Array.from({ length: 6 }, () => send({ url: `${url}/orders/question` })),
      );
      t.deepEqual([...new Set(questions.map((one) => one.status))], [200]);
      proxies.get('orders-1')?.setMode('reset');
      const orders = await sendOrders(url, 4);
      judge(t, system, [...questions, ...orders]);
    });
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
