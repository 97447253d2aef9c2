import {STREAM_EVENTS} from './soakSystem.js';
import type {ResumedStream} from './resumingCaller.js';

const EVENT_PATTERN = /^token (\d+)(?: of (\S+))?$/;

/** Streams with events of runners of several software versions. */
export function mixedStreams(streams: readonly ResumedStream[]): string[] {
  return streams
    .filter(stream => new Set(versionsOf(stream)).size > 1)
    .map(stream => describe(stream));
}

/** Streams in which an event is missing or comes twice, over all their parts. */
export function brokenStreams(
  streams: readonly ResumedStream[],
  length = STREAM_EVENTS,
): string[] {
  return streams
    .filter(stream => {
      const numbers = eventsOf(stream).map(event => Number(event[1]));
      const isInOrder = numbers.every((number, i) => number === i + 1);
      const isWhole = numbers.length === length;
      const hasEnded = stream.parts.some(
        ({isComplete, status}) => isComplete && status === 200,
      );
      return !isInOrder || (hasEnded && !isWhole);
    })
    .map(stream => describe(stream));
}

/** How many streams were taken up, and how many of them went on. */
export function countTakeUps(streams: readonly ResumedStream[]) {
  const takenUp = streams.filter(({parts}) => parts.length > 1);
  const goneOn = takenUp.filter(({parts}) =>
    parts.slice(1).some(({events}) => events.length > 0),
  );
  return {takenUp: takenUp.length, goneOn: goneOn.length};
}

function versionsOf(stream: ResumedStream): string[] {
  return eventsOf(stream).map(event => event[2] ?? '');
}

function eventsOf({parts}: ResumedStream): RegExpExecArray[] {
  const events = parts.flatMap(part => part.events);
  return events
    .map(event => EVENT_PATTERN.exec(event))
    .filter(match => match !== null);
}

function describe(stream: ResumedStream): string {
  const parts = stream.parts.map(
    ({status, events, isComplete}, i) =>
      `${stream.entries[i]}: ${status}${isComplete ? '' : ' cut'} [${events.join('; ')}]`,
  );
  return `${stream.id}: ${parts.join(' | ')}`;
}
