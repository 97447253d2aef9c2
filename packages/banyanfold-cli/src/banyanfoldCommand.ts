import {Command} from '@oclif/core';

/** Base class of all commands, with their common error handling. */
export abstract class BanyanfoldCommand extends Command {
  /**
   * Prints an error message and exits with one of EXIT_CODES. The text is not
   * wrapped, so that editors can follow `file:line:column`.
   */
  protected fail(message: string, exitCode: number): never {
    this.logToStderr(message);
    this.exit(exitCode);
  }
}
