/**
 * Sends what neighbours should hear: queued records, changed sums of load, and how recent the
 * configuration and the endpoint list are. What several neighbours get is encoded once.
 */
import type { Moment } from "../../core/clock";
import {
  type RelayHead,
  type RelayHello,
  RelayMessage,
  type RelayReport,
  RelayScope,
} from "../../peer/gen/fleet";
import type { RelayHost } from "./host";
import type { RelayLink } from "./link";
import { type LoadExchange, ReportEncoder } from "./loads";
import { encodeRecord, type OwnedRecord } from "./records";
import type { RelayTraffic } from "./traffic";

/** Longest time between two messages on a stream, in milliseconds; a little less than two ticks. */
const KEEP_ALIVE_MS = 480;
/** A copy that was confirmed by so much later is news for the neighbours, in milliseconds. */
const CONFIRMED_STEP_MS = 200;

const EMPTY: RelayMessage = RelayMessage.fromPartial({});

/** When the copies were last confirmed, and what they hold. */
interface HeadState {
  readonly versions: string;
  readonly configAt: Moment;
  readonly endpointsAt: Moment;
}

const NO_HEAD: HeadState = {
  versions: "",
  configAt: Number.NEGATIVE_INFINITY,
  endpointsAt: Number.NEGATIVE_INFINITY,
};

/** Sends to neighbours. */
export class FlushQueue {
  private sentHead = NO_HEAD;

  constructor(
    private readonly host: RelayHost,
    private readonly loads: LoadExchange,
    private readonly traffic: RelayTraffic,
  ) {}

  /** Sends the first message on a stream. */
  sendHello(link: RelayLink, hello: RelayHello, now: Moment): void {
    const bytes = link.send([RelayMessage.encode({ ...EMPTY, hello }).finish()], now);
    this.traffic.recordSent(0, false, bytes);
  }

  /** Checks whether the copies of this instance are newer than neighbours know. */
  isHeadNews(now: Moment): boolean {
    return isNews(this.sentHead, describeHead(this.host.createHead(), now));
  }

  /**
   * Sends what is due on each stream.
   *
   * @param isRelay - true if neighbours rely on this instance's confirmation of their copies
   * @param isTick - false for urgent changes alone
   */
  flush(links: readonly RelayLink[], isRelay: boolean, isTick: boolean, now: Moment): void {
    const head = this.host.createHead();
    const state = describeHead(head, now);
    const isHeadDue = isRelay
      ? isNews(this.sentHead, state)
      : state.versions !== this.sentHead.versions;
    if (isHeadDue) this.sentHead = state;
    const headBytes = RelayMessage.encode({ ...EMPTY, head }).finish();
    const records = new RecordEncoder(now);
    const encoders = new Map<RelayScope, ReportEncoder>();
    for (const link of links) {
      if (link.peer === undefined || !link.stream.isWritable()) continue;
      const report = isTick ? this.encodeReport(link, encoders, links) : undefined;
      const isDue = now - link.lastSentAt >= KEEP_ALIVE_MS;
      if (!isDue && !isHeadDue && !link.hasPending && report === undefined) continue;
      const pending = link.takePending();
      const parts = [headBytes, ...(report === undefined ? [] : [report])];
      if (pending.length > 0) parts.push(records.encode(pending));
      const bytes = link.send(parts, now);
      this.traffic.recordSent(pending.length, report !== undefined, bytes);
    }
  }

  private encodeReport(
    link: RelayLink,
    encoders: Map<RelayScope, ReportEncoder>,
    links: readonly RelayLink[],
  ): Uint8Array | undefined {
    const scope = link.wantedByPeer;
    if (scope === RelayScope.RELAY_SCOPE_NONE) return undefined;
    const encoder =
      encoders.get(scope) ?? new ReportEncoder(scope, this.loads.computeReported(links, scope));
    encoders.set(scope, encoder);
    const bytes = encoder.encode(link.reported, encodeReportMessage);
    if (bytes === undefined) return undefined;
    link.reported = encoder.load;
    if (scope === RelayScope.RELAY_SCOPE_INSTANCE) link.recordOwnLoad(encoder.load);
    return bytes;
  }
}

/** Encodes lists of records; equal lists are encoded once. */
class RecordEncoder {
  private readonly encoded = new Map<string, Uint8Array>();

  constructor(private readonly now: Moment) {}

  encode(records: readonly OwnedRecord[]): Uint8Array {
    const key = records
      .map(
        ({ instance, generation, kind, version }) => `${instance} ${generation} ${kind} ${version}`,
      )
      .join("\n");
    const known = this.encoded.get(key);
    if (known !== undefined) return known;
    const encodedRecords = records.map((record) => encodeRecord(record, this.now));
    const bytes = RelayMessage.encode({ ...EMPTY, records: encodedRecords }).finish();
    this.encoded.set(key, bytes);
    return bytes;
  }
}

function encodeReportMessage(report: RelayReport): Uint8Array {
  return RelayMessage.encode({ ...EMPTY, report }).finish();
}

function describeHead(head: RelayHead, now: Moment): HeadState {
  const { configVersion, endpointsEra, endpointsChange, configAgeMs, endpointsAgeMs } = head;
  return {
    versions: `${configVersion} ${endpointsEra} ${endpointsChange} ${head.endpointsRemovalsFrom} ${head.evacuated.join()}`,
    configAt: now - (configAgeMs ?? Number.POSITIVE_INFINITY),
    endpointsAt: now - (endpointsAgeMs ?? Number.POSITIVE_INFINITY),
  };
}

function isNews(before: HeadState, state: HeadState): boolean {
  return (
    before.versions !== state.versions ||
    state.configAt > before.configAt + CONFIRMED_STEP_MS ||
    state.endpointsAt > before.endpointsAt + CONFIRMED_STEP_MS
  );
}
