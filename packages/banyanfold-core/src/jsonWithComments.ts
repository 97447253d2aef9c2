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

/** A problem in a file: its position, the field and how to fix it. */
export interface FileProblem {
  /** `file:line:column`, counted from 1. */
  where: string;
  /** The path of the field, for example `selectors[0].group`. */
  field: string;
  message: string;
}

type IssuePath = ReadonlyArray<PropertyKey>;

/** Messages for the most common syntax errors. */
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
 * Parses JSON with comments and validates it against a schema.
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
    return err(toSyntaxProblems(fileName, text, syntaxErrors));
  }
  const validated = schema.safeParse(getNodeValue(root));
  if (validated.success) return ok(validated.data);
  return err(
    validated.error.issues.flatMap(issue =>
      getIssuePaths(issue).map(path => ({
        where: `${fileName}:${toLineAndColumn(text, findOffset(root, path))}`,
        field: renderPath(path),
        message: toIssueMessage(issue),
      })),
    ),
  );
}

/**
 * Returns the position of a field in a text as `line:column`.
 *
 * @example locateField(text, ['selectors', 0, 'group']) // '12:5'
 */
export function locateField(text: string, path: IssuePath): string {
  const root = parseTree(text, [], {allowTrailingComma: true});
  return toLineAndColumn(text, root ? findOffset(root, path) : 0);
}

/** Renders problems as text, one per line. */
export function renderProblems(problems: FileProblem[]): string {
  return problems
    .map(({where, field, message}) =>
      field ? `${where}: ${field}: ${message}` : `${where}: ${message}`,
    )
    .join('\n');
}

/** Locates an unknown field itself instead of the object that contains it. */
function getIssuePaths(issue: z.core.$ZodIssue): IssuePath[] {
  if (issue.code !== 'unrecognized_keys') return [issue.path];
  return issue.keys.map(key => [...issue.path, key]);
}

const MISSING_SUFFIX = ', received undefined';
const INVALID_INPUT_PREFIX = 'Invalid input: ';

function toIssueMessage(issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') {
    return 'no such field; check the spelling or remove it';
  }
  const {message} = issue;
  const text = message.startsWith(INVALID_INPUT_PREFIX)
    ? message.slice(INVALID_INPUT_PREFIX.length)
    : message;
  if (!text.endsWith(MISSING_SUFFIX)) return text;
  return `is missing; ${text.slice(0, -MISSING_SUFFIX.length)}`;
}

function toSyntaxProblems(
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
    where: `${fileName}:${toLineAndColumn(text, error.offset)}`,
    field: '',
    message: toSyntaxMessage(printParseErrorCode(error.error)),
  }));
}

function toSyntaxMessage(code: string): string {
  return SYNTAX_MESSAGES[code] ?? code;
}

function findOffset(root: Node, path: IssuePath): number {
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

function toLineAndColumn(text: string, offset: number): string {
  const before = text.slice(0, offset).split('\n');
  const column = (before[before.length - 1] ?? '').length + 1;
  return `${before.length}:${column}`;
}
