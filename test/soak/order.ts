/**
 * Finds streams that break rule ORDER, over all requests of their callers. Pure code over what the callers recorded.
 */
import { EVENT_COUNT, listEvents, type ReadEvent } from "./answers";
import {
  type Breach,
  getStream,
  type History,
  ONCE_KINDS,
  STREAM_KINDS,
  type Try,
} from "./history";
import { isSpoiledPage } from "./touch";

/** What breaks the order of a stream. */
export const OrderBreach = {
  /** Events of two versions, within one answer or over the requests of its caller. */
  twoVersions: "two versions",
  /** Events of two processes, in a stream that may run once. */
  twoRuns: "two runs",
  /** A piece is missing before another one. */
  gap: "gap",
  /** A piece came twice, or went back. */
  repeat: "repeat",
  /** An event that was written for another request. */
  foreign: "foreign",
  /** It looks complete before its last event. */
  earlyEnd: "early end",
} as const;
export type OrderBreach = (typeof OrderBreach)[keyof typeof OrderBreach];

/** A stream, over the requests of its caller in the order in which they were sent. */
interface Stream {
  readonly name: string;
  readonly tries: readonly Try[];
}

/** Finds streams that lack a piece, have one twice, join pieces of two runs or versions, or look complete and are not. */
export function checkOrder({ tries, faults }: History): readonly Breach[] {
  const answers = tries.filter((item) => !isSpoiledPage(item, faults));
  return listStreams(answers).flatMap((stream) =>
    listOrderBreaches(stream.tries).map((kind) => ({
      rule: "ORDER",
      message: `${stream.name} ${kind}: ${stream.tries.map(describeEvents).join("; ")}`,
      ids: stream.tries.map(({ id }) => id),
    })),
  );
}

/**
 * Lists what is wrong with one stream.
 *
 * @param tries - all requests of its caller, in order
 * @example
 * listOrderBreaches([item]); // ["early end"]
 */
export function listOrderBreaches(tries: readonly Try[]): readonly OrderBreach[] {
  const breaches = new Set<OrderBreach>();
  const answers = tries.map((item) => ({ item, events: listEvents(item.body) }));
  const events = answers.flatMap((answer) => answer.events);
  if (countDistinct(events, ({ version }) => version) > 1) breaches.add(OrderBreach.twoVersions);
  const mayRunOnce = tries.some(({ kind }) => ONCE_KINDS.has(kind));
  const processes = countDistinct(events, ({ process }) => process);
  if (mayRunOnce && processes > 1) breaches.add(OrderBreach.twoRuns);
  let last = 0;
  for (const { item, events: own } of answers) {
    for (const { request, number } of own) {
      if (request !== item.id) breaches.add(OrderBreach.foreign);
      if (number > last + 1) breaches.add(OrderBreach.gap);
      if (number <= last) breaches.add(OrderBreach.repeat);
      last = number;
    }
    const isWhole = item.status === 200 && item.isComplete;
    if (isWhole && last < EVENT_COUNT) breaches.add(OrderBreach.earlyEnd);
  }
  return [...breaches];
}

function listStreams(tries: readonly Try[]): readonly Stream[] {
  const streams = new Map<string, Try[]>();
  for (const item of tries.filter(({ kind }) => STREAM_KINDS.has(kind))) {
    const name = getStream(item);
    streams.set(name, [...(streams.get(name) ?? []), item]);
  }
  return [...streams].map(([name, own]) => ({
    name,
    tries: own.sort((a, b) => a.sentAt - b.sentAt),
  }));
}

function describeEvents({ id, status, isComplete, isOldCaller, body }: Try): string {
  const events = listEvents(body);
  const writers = new Set(events.map(({ version, process }) => `${process} ${version}`));
  const numbers = events.map(({ number }) => number).join(" ");
  const end = isComplete ? "complete" : "cut";
  const caller = isOldCaller === true ? " (HTTP/1.0)" : "";
  return `${id}${caller} ${status} ${end}, events ${numbers} by ${[...writers].join(", ")}`;
}

function countDistinct(events: readonly ReadEvent[], read: (event: ReadEvent) => string): number {
  return new Set(events.map(read)).size;
}
