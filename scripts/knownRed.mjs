// Passes over failures that KNOWN-RED.txt names, prints them, and fails for any
// other. Each line there: full name of the test | cause | issue.
import {existsSync, readFileSync} from 'node:fs';

const [resultsFile] = process.argv.slice(2);
const LIST = new URL('../KNOWN-RED.txt', import.meta.url);

const known = new Map(
  (existsSync(LIST) ? readFileSync(LIST, 'utf8') : '')
    .split('\n')
    .filter(line => line.includes('|'))
    .map(line => [line.split('|')[0].trim(), line.trim()]),
);
const {testResults} = JSON.parse(readFileSync(resultsFile, 'utf8'));
const failed = testResults.flatMap(({assertionResults}) =>
  assertionResults.filter(({status}) => status === 'failed'),
);
const broken = testResults.filter(
  ({status, assertionResults}) =>
    status === 'failed' &&
    !assertionResults.some(result => result.status === 'failed'),
);
const unknown = failed.filter(({fullName}) => !known.has(fullName));
for (const {fullName} of failed) {
  const line = known.get(fullName);
  console.log(line ? `known red: ${line}` : `red: ${fullName}`);
}
const isKnownOnly =
  failed.length > 0 && unknown.length === 0 && broken.length === 0;
process.exit(isKnownOnly ? 0 : 1);
