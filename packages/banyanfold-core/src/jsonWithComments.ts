import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';

/** One thing wrong in a file: what, where and what to do. */
export interface FileProblem {
  /** `file:line:column`, counted from 1. */
  where: string;
  /** The path of the field, for example `selectors[0].group`. */
  field: string;
  message: string;
}

type IssuePath = ReadonlyArray<PropertyKey>;

/** What to do about the syntax errors that people make most. */
const SYNTAX_MESSAGES: Record<string, string> = {
  CommaExpected: 'a comma is missing before this',
  ColonExpected: 'a colon is missing before this',
  ValueExpected: 'a value is missing here',
  PropertyNameExpected: 'a field name in double quotes is missing here',
  CloseBraceExpected: 'a closing "}" is missing here',
  CloseBracketExpected: 'a closing "]" is missing here',
  EndOfFileExpected: 'nothing may follow the first value; remove this',
  InvalidSymbol: 'this is no JSON value; put text in double quotes',
};

/**
 * Reads JSON with comments and checks it against a schema.
 *
 * @returns the value, or every problem with its file, line and column.
 * @example parseJsonWithComments('a.jsonc', text, entrySettingsSchema)
 */
export function parseJsonWithComments<S extends z.ZodType>(
  fileName: string,
  text: string,
  schema: S,
): Result<z.output<S>, FileProblem[]> {
  const syntaxErrors: ParseError[] = [];
  const root = parseTree(text, syntaxErrors, {allowTrailingComma: true});
  if (syntaxErrors.length > 0 || !root) {
    return err(syntaxProblems(fileName, text, syntaxErrors));
  }
  const checked = schema.safeParse(getNodeValue(root));
  if (checked.success) return ok(checked.data);
  return err(
    checked.error.issues.flatMap(issue =>
      issuePaths(issue).map(path => ({
        where: `${fileName}:${positionOf(text, offsetOf(root, path))}`,
        field: renderPath(path),
        message: issueMessage(issue),
      })),
    ),
  );
}

/**
 * Where a field stands in a text, as `line:column`.
 *
 * @example locateField(text, ['selectors', 0, 'group']) // '12:5'
 */
export function locateField(text: string, path: IssuePath): string {
  const root = parseTree(text, [], {allowTrailingComma: true});
  return positionOf(text, root ? offsetOf(root, path) : 0);
}

/** Renders problems for a person, one a line. */
export function renderProblems(problems: FileProblem[]): string {
  return problems
    .map(({where, field, message}) =>
      field ? `${where}: ${field}: ${message}` : `${where}: ${message}`,
    )
    .join('\n');
}

/** An unknown field is shown where it stands, not at the object around it. */
function issuePaths(issue: z.core.$ZodIssue): IssuePath[] {
  if (issue.code !== 'unrecognized_keys') return [issue.path];
  return issue.keys.map(key => [...issue.path, key]);
}

const ABSENT = ', received undefined';
const INVALID_INPUT = 'Invalid input: ';

function issueMessage(issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') {
    return 'no such field; check the spelling or remove it';
  }
  const {message} = issue;
  const text = message.startsWith(INVALID_INPUT)
    ? message.slice(INVALID_INPUT.length)
    : message;
  if (!text.endsWith(ABSENT)) return text;
  return `is missing; ${text.slice(0, -ABSENT.length)}`;
}

function syntaxProblems(
  fileName: string,
  text: string,
  errors: ParseError[],
): FileProblem[] {
  if (errors.length === 0) {
    return [
      {where: `${fileName}:1:1`, field: '', message: 'the file is empty'},
    ];
  }
  return errors.map(error => ({
    where: `${fileName}:${positionOf(text, error.offset)}`,
    field: '',
    message: syntaxMessage(printParseErrorCode(error.error)),
  }));
}

function syntaxMessage(code: string): string {
  return SYNTAX_MESSAGES[code] ?? code;
}

function offsetOf(root: Node, path: IssuePath): number {
  for (let length = path.length; length > 0; length--) {
    const segments = path.slice(0, length).map(toSegment);
    const node = findNodeAtLocation(root, segments);
    if (node) return node.offset;
  }
  return root.offset;
}

function toSegment(key: PropertyKey): string | number {
  return typeof key === 'symbol' ? String(key) : key;
}

function renderPath(path: IssuePath): string {
  let text = '';
  for (const key of path) {
    if (typeof key === 'number') text += `[${key}]`;
    else text += text ? `.${String(key)}` : String(key);
  }
  return text;
}

function positionOf(text: string, offset: number): string {
  const before = text.slice(0, offset).split('\n');
  const column = (before[before.length - 1] ?? '').length + 1;
  return `${before.length}:${column}`;
}
