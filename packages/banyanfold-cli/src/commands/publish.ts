import {userInfo} from 'node:os';
import {Args, Flags} from '@oclif/core';
import {parseConfig, type PublishedConfig} from '@banyanfold/config';
import {renderProblems, sleep, systemClock} from '@banyanfold/core';
import {createOperatorFollower} from '../configLog.js';
import {EXIT_CODES} from '../exitCodes.js';
import {laggards, readVersions, type ProcessVersion} from '../inForce.js';
import {OperatorCommand} from '../operatorCommand.js';
import {readText, type OperatorSettings} from '../settings.js';

const WAIT_POLL_MS = 200;
const MS_PER_SECOND = 1000;

export default class Publish extends OperatorCommand {
  static override summary = 'Publish labels and selectors.';
  static override description =
    'Says "accepted" only after reading its own record back. Exit code 3: ' +
    'another publish came first and this one is void.';
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
        'version that the file was made from; the publish is void when ' +
        'another one is in force. Default: the one in force now',
    }),
    publisher: Flags.string({
      description: 'who publishes',
      default: () => Promise.resolve(userInfo().username),
    }),
    wait: Flags.boolean({
      description: 'wait until it is in force everywhere',
    }),
    'wait-seconds': Flags.integer({
      description: 'how long to wait at most',
      default: 30,
    }),
  };

  async run(): Promise<void> {
    const {args, flags} = await this.parse(Publish);
    const settings = this.loadOperatorSettings(flags.settings);
    const body = this.readConfig(args.file);
    const version = await this.append(settings, body, flags);
    this.log(`accepted: version ${version}`);
    if (flags.wait) {
      const waitMs = flags['wait-seconds'] * MS_PER_SECOND;
      await this.waitInForce(settings, version, waitMs);
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

  private async append(
    settings: OperatorSettings,
    body: PublishedConfig,
    flags: {base?: number; publisher: string},
  ): Promise<number> {
    const follower = createOperatorFollower(settings);
    const read = await follower.readNow();
    if (read.isErr()) this.unreachable('log', read.error.message);
    const baseVersion = flags.base ?? follower.version;
    const verdict = await follower.publishConfig({
      baseVersion,
      publisher: flags.publisher,
      body,
    });
    if (verdict.isErr()) {
      const {code, message} = verdict.error;
      if (code !== 'append-unknown') this.unreachable('log', message);
      this.fail(
        `it is not known whether the publish is in force (${message}); run ` +
          '"published" to see, before you publish again',
        EXIT_CODES.notInForce,
      );
    }
    if (verdict.value.kind === 'accepted') return verdict.value.version;
    const {reason, currentVersion} = verdict.value;
    this.fail(
      `void (${reason}): based on version ${baseVersion}, but version ` +
        `${currentVersion} is in force; nothing of it was taken. Get that ` +
        'one with "published", merge and publish again',
      EXIT_CODES.publishVoid,
    );
  }

  private async waitInForce(
    settings: OperatorSettings,
    version: number,
    waitMs: number,
  ): Promise<void> {
    const startMs = systemClock.nowMs();
    for (;;) {
      const entries = await this.liveEntries(settings);
      const versions = await readVersions(entries);
      const late = laggards(versions, version);
      const tookMs = systemClock.nowMs() - startMs;
      if (late.length === 0) {
        const seconds = (tookMs / MS_PER_SECOND).toFixed(1);
        this.log(`in force on ${versions.length} processes after ${seconds} s`);
        return;
      }
      if (tookMs > waitMs) this.reportLate(late, version);
      await sleep(systemClock, WAIT_POLL_MS);
    }
  }

  private reportLate(late: ProcessVersion[], version: number): never {
    const names = late
      .map(({vmId, version: has}) =>
        has === 0 ? `${vmId} (no answer)` : `${vmId} (version ${has})`,
      )
      .join(', ');
    this.fail(
      `version ${version} is accepted but not yet in force on: ${names}`,
      EXIT_CODES.notInForce,
    );
  }
}
