import { Readable } from 'node:stream';
import { describe } from '@baobabdeck/test-tools';
import { request } from 'undici';
import { startSystem } from '../system.js';

const CHUNK_BYTES = 1_048_576;
const CHUNKS = 400;

/** Less than the body alone would take: it must not sit in memory. */
const LARGEST_RESIDENT_BYTES = CHUNKS * CHUNK_BYTES;

function* chunks(): Generator<Buffer> {
  const chunk = Buffer.alloc(CHUNK_BYTES, 'x');
  for (let index = 0; index < CHUNKS; index += 1) yield chunk;
}

describe('the whole path', ({ itSerially }) => {
  itSerially(
    'takes a request from a caller to a target and back, on a published configuration',
    async (t) => {
      const system = await startSystem({
        pools: [{ name: 'quotes', hosts: 2, maximumAbsentHosts: 1, failureReserveHosts: 0 }],
        gateways: 1,
        controllers: 1,
      });
      try {
        const [url = ''] = system.gatewayUrls();
        const response = await request(`${url}/quotes/price?ms=5`, {
          headers: { traceparent: '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01' },
        });
        const body = (await response.body.json()) as { readonly host: string };
        t.is(response.statusCode, 200);
        t.true(system.targets.has(body.host));
        t.truthy(response.headers['baobabdeck-request-id']);

        const refused = await request(`${url}/no-such-service/`);
        const problem = (await refused.body.json()) as { readonly code: number; readonly ran: string };
        t.is(refused.statusCode, 404);
        t.is(refused.headers['baobabdeck-result'], '1001');
        t.deepEqual({ code: problem.code, ran: problem.ran }, { code: 1001, ran: 'no' });

        const upload = await request(`${url}/quotes/upload`, {
          method: 'POST',
          body: Readable.from(chunks()),
        });
        t.is(((await upload.body.json()) as { readonly bytes: number }).bytes, CHUNKS * CHUNK_BYTES);
        const metrics = await request(`http://${String(system.gateways[0]?.announced.adminAddress)}/metrics`);
        const resident = Number(/^process_resident_memory_bytes (\d+)/m.exec(await metrics.body.text())?.[1]);
        t.true(
          resident < LARGEST_RESIDENT_BYTES,
          `${resident} bytes resident after a body of ${CHUNKS * CHUNK_BYTES}`,
        );

        const status = await system.command('config', 'status', '--json');
        t.is(status.code, 0, status.stdout);
      } finally {
        await system.close();
      }
    },
  );
});
