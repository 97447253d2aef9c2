import {userInfo} from 'node:os';
import {Args, Flags} from '@oclif/core';
import {parseConfig, type PublishedConfig} from '@banyanfold/config';
import {renderProblems, sleep, systemClock} from '@banyanfold/core';
import {createOperatorFollower} from '../configLog.js';
import {EXIT_CODES} from '../exitCodes.js';
import {
  findOutdated,
  readVersions,
  type ProcessVersion,
} from '../processVersions.js';
import {OperatorCommand} from '../operatorCommand.js';
import {readText, type OperatorSettings} from '../settings.js';

const WAIT_POLL_MS = 200;
const MS_PER_SECOND = 1000;

export default class Publish extends OperatorCommand {
  static override summary = 'Publish labels and selectors.';
  static override description =
    'Prints "accepted" only after reading its own record back. Exit code 3: ' +
    'another publish was accepted first and this one is void.';
  static override examples = [
    '<%= config.bin %> publish published.jsonc --wait',
    '<%= config.bin %> publish published.jsonc --base 12',
  ];
  static override args = {
    file: Args.string({description: 'configuration file', required: true}),
  };
  static override flags = {
    base: Flags.integer({
      description:
        'version that the file is based on; the publish is void if another ' +
        'version is in force. Default: the version in force',
    }),
    publisher: Flags.string({
      description: 'name of the publisher',
      default: () => Promise.resolve(userInfo().username),
    }),
    wait: Flags.boolean({
      description: 'wait until the version is in force on all processes',
    }),
    'wait-seconds': Flags.integer({
      description: 'maximum time to wait',
      default: 30,
    }),
  };

  async run(): Promise<void> {
    const {args, flags} = await this.parse(Publish);
    const settings = this.loadOperatorSettings(flags.settings);
    const body = this.readConfig(args.file);
    const version = await this.appendConfig(settings, body, flags);
    this.log(`accepted: version ${version}`);
    if (flags.wait) {
      const timeoutMs = flags['wait-seconds'] * MS_PER_SECOND;
      await this.waitUntilInForce(settings, version, timeoutMs);
    }
    this.exit(EXIT_CODES.ok);
  }

  private readConfig(file: string): PublishedConfig {
    const text = readText(file).match(
      value => value,
      problem => this.fail(problem, EXIT_CODES.badInput),
    );
    const parsed = parseConfig(file, text);
    if (parsed.isErr()) {
      this.fail(renderProblems(parsed.error), EXIT_CODES.badInput);
    }
    for (const warning of parsed.value.warnings) {
      this.warn(renderProblems([warning]));
    }
    return parsed.value.config;
  }

  private async appendConfig(
    settings: OperatorSettings,
    body: PublishedConfig,
    flags: {base?: number; publisher: string},
  ): Promise<number> {
    const follower = createOperatorFollower(settings);
    const read = await follower.readNow();
    if (read.isErr()) this.failUnreachable('log', read.error.message);
    const baseVersion = flags.base ?? follower.version;
    const verdict = await follower.publishConfig({
      baseVersion,
      publisher: flags.publisher,
      body,
    });
    if (verdict.isErr()) {
      const {code, message} = verdict.error;
      if (code !== 'append-unknown') this.failUnreachable('log', message);
      this.fail(
        `it is not known whether the publish is in force (${message}); run ` +
          '"published" to check before you publish again',
        EXIT_CODES.notInForce,
      );
    }
    if (verdict.value.kind === 'accepted') return verdict.value.version;
    const {reason, currentVersion} = verdict.value;
    this.fail(
      `void (${reason}): based on version ${baseVersion}, but version ` +
        `${currentVersion} is in force; nothing was changed. Get that version ` +
        'with "published", merge and publish again',
      EXIT_CODES.publishVoid,
    );
  }

  private async waitUntilInForce(
    settings: OperatorSettings,
    version: number,
    timeoutMs: number,
  ): Promise<void> {
    const startMs = systemClock.nowMs();
    for (;;) {
      const entries = await this.connectLiveEntries(settings);
      const versions = await readVersions(entries);
      const outdated = findOutdated(versions, version);
      const elapsedMs = systemClock.nowMs() - startMs;
      if (outdated.length === 0) {
        const seconds = (elapsedMs / MS_PER_SECOND).toFixed(1);
        this.log(`in force on ${versions.length} processes after ${seconds} s`);
        return;
      }
      if (elapsedMs > timeoutMs) this.failOutdated(outdated, version);
      await sleep(systemClock, WAIT_POLL_MS);
    }
  }

  private failOutdated(outdated: ProcessVersion[], version: number): never {
    const names = outdated
      .map(({vmId, version: reported}) =>
        reported === 0
          ? `${vmId} (no answer)`
          : `${vmId} (version ${reported})`,
      )
      .join(', ');
    this.fail(
      `version ${version} is accepted but not yet in force on: ${names}`,
      EXIT_CODES.notInForce,
    );
  }
}
