import {readFileSync} from 'node:fs';
import {
  createLogger,
  exitProcess,
  parseJsonWithComments,
  renderProblems,
  startLogOutput,
} from '@banyanfold/core';
import {standinsSettingsSchema, type StandinsSettings} from './settings.js';
import {startStandins} from './startStandins.js';

const BAD_USAGE = 2;

function readSettings(fileName: string | undefined): StandinsSettings {
  if (!fileName) exitWith('usage: node lib/main.js <settings.jsonc>');
  const text = readFileSync(fileName, 'utf8');
  const parsed = parseJsonWithComments(fileName, text, standinsSettingsSchema);
  if (parsed.isErr()) exitWith(renderProblems(parsed.error));
  return parsed.value;
}

function exitWith(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(BAD_USAGE);
}

async function main(): Promise<void> {
  const settings = readSettings(process.argv[2]);
  startLogOutput();
  const standins = await startStandins(settings, createLogger());
  const stop = (): void => {
    void standins.stop().then(() => exitProcess(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

await main().catch(error => exitWith(`the start failed: ${String(error)}`));
