import {Command} from '@oclif/core';

/** What all commands have in common: how they fail. */
export abstract class BanyanfoldCommand extends Command {
  /**
   * Says what is wrong and ends with one of EXIT_CODES. The text is not
   * wrapped, so that `file:line:column` can be followed by an editor.
   */
  protected fail(message: string, exitCode: number): never {
    this.logToStderr(message);
    this.exit(exitCode);
  }
}
