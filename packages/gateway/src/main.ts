/** Entry point of the `baobabdeck-gateway` process. */
import { runProgram } from '@baobabdeck/process';
import { buildGateway } from './container.js';

await runProgram('baobabdeck-gateway', async (parts) => {
  const gateway = await buildGateway(parts);
  process.stdout.write(
    `${JSON.stringify({ callerPort: gateway.callerPort, adminAddress: gateway.runtime.identity.adminAddress })}\n`,
  );
  return gateway;
});
