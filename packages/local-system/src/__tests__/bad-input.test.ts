import { connect } from 'node:net';
import { describe } from '@baobabdeck/test-tools';
import { startSystem, type LocalSystem } from '../system.js';

const POOL = { name: 'quotes', hosts: 2, maximumAbsentHosts: 1, failureReserveHosts: 0 };

/** Sends bytes as they are and gives everything that comes back. */
function sendRaw(system: LocalSystem, bytes: string): Promise<string> {
  const port = Number(system.gateways[0]?.announced.callerPort);
  return new Promise((resolve) => {
    let answer = '';
    const socket = connect({ host: '127.0.0.1', port }, () => socket.write(bytes));
    socket.on('data', (chunk) => {
      answer += String(chunk);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(answer));
  });
}

function describeAnswer(answer: string): string {
  const status = /^HTTP\/1\.1 (\d{3})/.exec(answer)?.[1] ?? 'none';
  const code = /baobabdeck-result: (\d{4})/.exec(answer)?.[1] ?? 'none';
  const ran = /"ran":"(\w+)"/.exec(answer)?.[1] ?? 'none';
  return `${status} ${code} ${ran}`;
}

describe('bad input to a gateway', ({ itSerially }) => {
  itSerially('is refused with a numbered answer and reaches no target', async (t) => {
    const system = await startSystem({ pools: [POOL], gateways: 1, controllers: 1 });
    try {
      const head = 'POST /quotes/order HTTP/1.1\r\nhost: h\r\n';
      const both = `${head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`;
      const lengths = `${head}content-length: 3\r\ncontent-length: 5\r\n\r\nabc`;
      const large = `${head}x: ${'y'.repeat(20_000)}\r\n\r\n`;
      t.is(describeAnswer(await sendRaw(system, both)), '400 1018 no');
      t.is(describeAnswer(await sendRaw(system, lengths)), '400 1018 no');
      t.is(describeAnswer(await sendRaw(system, large)), '431 1004 no');
      t.is(describeAnswer(await sendRaw(system, 'no request at all\r\n\r\n')), '400 1018 no');
      const started = [...system.targets.values()].reduce((sum, target) => sum + target.report().started, 0);
      t.is(started, 0);

      const taken = String(system.gateways[0]?.announced.callerPort);
      const second = system.startGateway('gateway-2', { BAOBABDECK_CALLER_PORT: taken });
      await t.throwsAsync(second, { message: /ended with code 1/ });
    } finally {
      await system.close();
    }
  });
});
