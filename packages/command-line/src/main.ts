/** The program `baobabdeck`. */
import { runCommandLine } from './index.js';

process.exitCode = await runCommandLine(process.argv.slice(2));
