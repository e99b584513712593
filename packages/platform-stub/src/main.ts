/** The program `baobabdeck-platform-stub`: one argument, the port; 0 or none lets the machine choose. */
import { startPlatformStub } from './server.js';

const stub = await startPlatformStub(Number(process.argv[2] ?? 0));
process.stdout.write(`${JSON.stringify({ port: stub.port })}\n`);
const stop = (): void => {
  stub.close();
  process.exit(0);
};
process.on('SIGTERM', stop);
process.on('SIGINT', stop);
