/**
 * The public API: an entry instance with the codecs of its settings and configuration, and a forwarding instance with
 * the interfaces that a platform's adapter implements.
 */
export { createInstance, type Instance } from "./instance";
export { type Settings, settingsCodec } from "./core/settings";
export { type ConfigDocument, type Configuration, documentCodec } from "./core/config/objects";
export { DecodeError, decodeText, decodeValue } from "./core/codec";
export { checkReferences } from "./core/config/references";
export { type Adapter, ForwardInstance } from "./forward/instance";
export type { CallerCodec, EndpointCodec } from "./forward/requests/messages";
export type { ForwardSettings } from "./forward/settings";
export type { FleetConfig } from "./fleet/config";
export type { EndpointDecoder, EndpointEntry } from "./fleet/entries";
export type { Store } from "./fleet/store";
export type { ConfigDecoder } from "./fleet/watcher";
