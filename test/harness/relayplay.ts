/**
 * Streams and plain answers that an instance which is cut off gets over its neighbours, as processes, from endpoints that
 * fall silent where a test says, so that whatever happens to a neighbour meets them there.
 */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { get as httpGet } from "node:http";
import type { Socket } from "node:net";
import { join } from "node:path";
import { pause } from "../../src/core/clock";
import { EngineStage } from "../../src/fleet/entries";
import type { ForwardSettings } from "../../src/forward/settings";
import { createBody, createEvent, EVENT_COUNT, HANDLE_PREFIX } from "../soak/answers";
import { createSoakConfig } from "../soak/changes";
import type { SoakEndpoint } from "../soak/endpoint";
import { SoakFleet } from "../soak/fleet";
import { CallKind } from "../soak/history";
import type { SoakInstance } from "../soak/instance";
import { CutMode } from "./cutproxy";
import { waitUntil } from "./forward";
import { RawEndpoint } from "./raw";
import { Stop } from "./stop";

/** The instance that is cut off from all endpoints. */
export const ASKER = "nizwa-1";
/** Its neighbours, which reach them. */
export const RELAYS = ["bahla-1", "nizwa-2"] as const;
/** Longer than any play, in milliseconds. */
const PATIENCE_MS = 15_000;
const EVENT_INTERVAL_MS = 30;
/** The event after which an endpoint falls silent within an answer. */
const SILENT_AFTER = 4;

/** How an answer shows its end. */
export const Framing = { chunks: "chunks", length: "length", none: "none" } as const;
export type Framing = (typeof Framing)[keyof typeof Framing];

/** Where an endpoint falls silent. */
export const SilentPlace = {
  beforeHead: "before",
  afterHead: "head",
  afterEvent: "event",
} as const;
export type SilentPlace = (typeof SilentPlace)[keyof typeof SilentPlace];

/** How an answer reached its caller. */
export const Outcome = {
  whole: "whole",
  /** With an error, or an end that shows that it is not whole. */
  cut: "cut",
  /** Complete by all that its caller can see, with bytes missing. */
  early: "complete early",
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** One answer to play. */
export interface Play {
  readonly kind: CallKind;
  readonly framing: Framing;
  readonly place: SilentPlace;
}

/** Lists the plays of some kinds, by framing and place. */
export function listPlays(kinds: readonly CallKind[]): readonly Play[] {
  return kinds.flatMap((kind) =>
    Object.values(Framing).flatMap((framing) =>
      Object.values(SilentPlace).map((place) => ({ kind, framing, place })),
    ),
  );
}

function readId(head: string): string {
  return /x-id: (\S+)/i.exec(head)?.[1] ?? "";
}

function createHead(id: string, framing: Framing, length: number): string {
  const ends = {
    [Framing.chunks]: "transfer-encoding: chunked",
    [Framing.length]: `content-length: ${length}`,
    [Framing.none]: "connection: close",
  };
  const type = id.startsWith(CallKind.any) ? "text/plain" : "text/event-stream";
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: ${type}\r\n${ends[framing]}\r\n\r\n`;
}

/** An endpoint that falls silent in the first run of each request, until the silence is over. */
class SilentEndpoint {
  private readonly server = new RawEndpoint((head, socket) => {
    this.onRequest(head, socket);
  });

  constructor(
    private readonly stop: Stop,
    private readonly begun: Set<string>,
  ) {}

  /** Takes the place of an endpoint of the fleet. */
  async replace(endpoint: SoakEndpoint): Promise<void> {
    endpoint.crash();
    await this.server.listen(Number(endpoint.address.split(":")[1]));
  }

  close(): void {
    this.server.close();
  }

  private onRequest(head: string, socket: Socket): void {
    const id = readId(head);
    if (head.startsWith("POST /hold")) writeWhole(socket, id, `hold-${Math.random()}`);
    else if (head.includes("x-task: prefill")) writeWhole(socket, id, `${HANDLE_PREFIX}${id}`);
    else if (head.includes("x-task: run")) void this.answer(head, socket);
    else writeWhole(socket, id, "");
  }

  private async answer(head: string, socket: Socket): Promise<void> {
    const id = readId(head);
    const [kind = "", framing = "", place = ""] = id.split(".");
    const isFirst = !this.begun.has(id);
    const fallSilent = async (at: SilentPlace) => {
      if (place !== at || !isFirst) return;
      this.begun.add(id);
      await new Promise<void>((resolve) => {
        this.stop.pass(resolve);
      });
    };
    const pieces = listPieces(kind as CallKind, id, head);
    const length = pieces.join("").length;
    await fallSilent(SilentPlace.beforeHead);
    socket.write(createHead(id, framing as Framing, length));
    await fallSilent(SilentPlace.afterHead);
    for (const [index, piece] of pieces.entries()) {
      if (index === SILENT_AFTER) await fallSilent(SilentPlace.afterEvent);
      await pause(EVENT_INTERVAL_MS);
      const isChunked = framing === Framing.chunks;
      socket.write(isChunked ? `${piece.length.toString(16)}\r\n${piece}\r\n` : piece);
    }
    if (framing === Framing.chunks) socket.write("0\r\n\r\n");
    if (framing === Framing.none) socket.end();
  }
}

/** The pieces of an answer that follow those that its caller has; of a plain one, its bytes. */
function listPieces(kind: CallKind, id: string, head: string): readonly string[] {
  if (kind === CallKind.any) return [...createBody(kind, id)];
  const after = Number(/x-after: (\d+)/i.exec(head)?.[1] ?? "0");
  const numbers = Array.from({ length: EVENT_COUNT - after }, (_, index) => after + index + 1);
  return numbers.map((number) => createEvent(id, number));
}

function writeWhole(socket: Socket, id: string, body: string): void {
  const top = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\n`;
  if (!socket.destroyed) socket.write(`${top}content-length: ${body.length}\r\n\r\n${body}`);
}

/** A fleet of three instances of which one is cut off, with endpoints that fall silent. */
export class RelayFleet {
  private readonly stop = new Stop();
  private readonly begun = new Set<string>();
  private readonly endpoints: SilentEndpoint[] = [];
  private plays = 0;

  private constructor(readonly fleet: SoakFleet) {}

  /** @param graceMs - how long a relay may take to stop, in milliseconds */
  static async start(graceMs: number): Promise<RelayFleet> {
    const fleet = await SoakFleet.start(3, { onRun: () => undefined, onEnd: () => undefined });
    const started = new RelayFleet(fleet);
    await started.replaceEndpoints();
    const { routes, ...config } = createSoakConfig(2);
    const patient = { timeoutMs: PATIENCE_MS, targetLatencyMs: PATIENCE_MS };
    fleet.store.putConfig({ ...config, routes: routes.map((one) => ({ ...one, ...patient })) });
    await Promise.all(
      RELAYS.map(async (name) => {
        await started.find(name).kill();
        setGrace(started.find(name), graceMs);
        await started.find(name).start();
      }),
    );
    await fleet.ways.cut([ASKER], CutMode.reset);
    await pause(2000);
    return started;
  }

  /** Finds an instance by its name. */
  find(name: string): SoakInstance {
    return this.fleet.instances.get(name) ?? assert.fail(name);
  }

  /**
   * Plays answers that are all silent while something happens to the relays.
   *
   * @param act - resolves once the endpoints are to go on
   * @returns the outcomes, by play
   */
  async play(plays: readonly Play[], act: () => Promise<void>): Promise<Map<Play, Outcome>> {
    this.plays += 1;
    this.stop.arm();
    const outcomes = new Map<Play, Outcome>();
    const answers = plays.map(async (play) => {
      const id = `${play.kind}.${play.framing}.${play.place}.${this.plays}`;
      outcomes.set(play, await this.read(play.kind, id));
    });
    await waitUntil(() => this.stop.waiting >= plays.length, 15_000);
    await pause(300);
    await act();
    this.stop.open();
    await Promise.all(answers);
    return outcomes;
  }

  /** Counts the tunnels that were open at an instance and ended, over all its processes. */
  countTunnelEnds(name: string): number {
    const log = readFileSync(join(this.fleet.folder, `${name}.log`), "utf8");
    return log.split('"tunnel ended"').length - 1;
  }

  async close(): Promise<void> {
    await this.fleet.close(false);
    for (const endpoint of this.endpoints) endpoint.close();
  }

  private async replaceEndpoints(): Promise<void> {
    for (const endpoint of this.fleet.endpoints.values()) {
      if (endpoint.createEntry().stage === EngineStage.prefill) continue;
      const silent = new SilentEndpoint(this.stop, this.begun);
      await silent.replace(endpoint);
      this.endpoints.push(silent);
    }
  }

  private read(kind: CallKind, id: string): Promise<Outcome> {
    const headers = {
      "x-id": id,
      "x-patience": String(PATIENCE_MS),
      "x-tokens": "300",
      "x-parts": `own-${id}`,
    };
    const port = this.find(ASKER).getPort("callers");
    const options = { host: "127.0.0.1", port, path: `/${kind}/${id}`, headers, agent: false };
    return new Promise((resolve) => {
      const request = httpGet(options);
      request.on("error", () => {
        resolve(Outcome.cut);
      });
      request.on("response", (response) => {
        let body = "";
        response.on("data", (bytes: Buffer) => (body += bytes.toString()));
        response.on("error", () => undefined);
        response.on("close", () => {
          if (response.statusCode !== 200 || !response.complete) resolve(Outcome.cut);
          else resolve(body === createBody(kind, id) ? Outcome.whole : Outcome.early);
        });
      });
    });
  }
}

/** Sets the grace of an instance's next process. */
function setGrace(instance: SoakInstance, graceMs: number): void {
  const { hosted } = instance as unknown as { hosted: { settings: ForwardSettings } };
  Object.assign(hosted.settings, { graceMs });
}
