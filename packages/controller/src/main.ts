/** Entry point of the `baobabdeck-controller` process. */
import { runProgram } from '@baobabdeck/process';
import { buildController } from './container.js';

await runProgram('baobabdeck-controller', async (parts) => {
  const runtime = await buildController(parts);
  process.stdout.write(`${JSON.stringify({ adminAddress: runtime.identity.adminAddress })}\n`);
  const stop = async (): Promise<void> => {
    runtime.dispatch({ kind: 'stop-requested' });
    await runtime.close();
  };
  return { stop };
});
