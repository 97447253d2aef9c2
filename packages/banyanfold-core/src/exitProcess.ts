import {endLogOutput} from './logger.js';

/** Ends the process with this code once its log is written. */
export async function exitProcess(code: number): Promise<never> {
  await endLogOutput();
  process.exit(code);
}
