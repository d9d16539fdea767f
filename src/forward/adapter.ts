/**
 * What an adapter to a platform provides to an instance.
 */
import type { EndpointDecoder } from "../fleet/entries";
import type { Store } from "../fleet/store";
import type { ConfigDecoder } from "../fleet/watcher";
import type { CallerCodec, EndpointCodec } from "./requests";

/** An adapter to a platform: its store, codecs and decoders. */
export interface Adapter {
  readonly store: Store;
  readonly callerCodec: CallerCodec;
  readonly endpointCodec: EndpointCodec;
  readonly decodeConfig: ConfigDecoder;
  readonly decodeEndpoint: EndpointDecoder;
}
