/**
 * Program that runs one instance of a soak in a process of its own: it reaches the store over its parent, and endpoints
 * over ways of its own.
 */
import { ForwardInstance } from "../../src/forward/instance";
import type { ForwardSettings } from "../../src/forward/settings";
import { testCodecs } from "../harness/forward";
import { ReportCodec } from "./codec";
import { ChannelStore, type StoreAnswer } from "./storechannel";

/** What an instance is started with. */
export interface HostedInstance {
  readonly settings: ForwardSettings;
  /** The addresses at which it reaches endpoints, by their ids. */
  readonly ways: Readonly<Record<string, string>>;
}

const store = new ChannelStore();

async function start({ settings, ways }: HostedInstance): Promise<void> {
  const instance = new ForwardInstance(settings, {
    ...testCodecs,
    store,
    endpointCodec: new ReportCodec(),
    decodeEndpoint: (id, value) => {
      const entry = testCodecs.decodeEndpoint(id, value);
      return entry && { ...entry, address: ways[id] ?? entry.address };
    },
  });
  process.on("SIGTERM", () => {
    void instance.close().then(() => process.exit(0));
  });
  await instance.start();
}

process.once("message", (hosted) => {
  process.on("message", (answer) => {
    store.onAnswer(answer as StoreAnswer);
  });
  void start(hosted as HostedInstance);
});
// The soak is over, or gone.
process.on("disconnect", () => process.exit());
