/** Imported before everything else of the emulator, it makes the processes' code count its work. */
import { register } from 'node:module';
import { beginCounting } from './work-counter.js';

beginCounting();
register('./count-hooks.js', import.meta.url);
