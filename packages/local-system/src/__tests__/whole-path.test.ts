import { describe } from '@baobabdeck/test-tools';
import { request } from 'undici';
import { startSystem } from '../system.js';

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

        const status = await system.command('config', 'status', '--json');
        t.is(status.code, 0, status.stdout);
      } finally {
        await system.close();
      }
    },
  );
});
