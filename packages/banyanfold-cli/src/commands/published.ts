import {createOperatorFollower} from '../configLog.js';
import {EXIT_CODES} from '../exitCodes.js';
import {OperatorCommand} from '../operatorCommand.js';

export default class Published extends OperatorCommand {
  static override summary = 'Print the configuration in force.';
  static override description =
    'The first line is a comment with the version, to pass to ' +
    '"publish --base".';
  static override examples = ['<%= config.bin %> published > published.jsonc'];

  async run(): Promise<void> {
    const {flags} = await this.parse(Published);
    const settings = this.loadOperatorSettings(flags.settings);
    const follower = createOperatorFollower(settings);
    const read = await follower.readNow();
    if (read.isErr()) this.failUnreachable('log', read.error.message);
    const state = follower.state;
    if (!state) {
      this.fail('nothing is published yet', EXIT_CODES.failed);
    }
    this.log(`// version ${state.version}`);
    this.log(JSON.stringify(state.body, undefined, 2));
    this.exit(EXIT_CODES.ok);
  }
}
