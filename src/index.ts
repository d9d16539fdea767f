/**
 * The public API: an entry instance, and the codecs of its settings and configuration.
 */
export { createInstance, type Instance } from "./node";
export { type Settings, settingsCodec } from "./core/settings";
export { type ConfigDocument, type Configuration, documentCodec } from "./core/config";
export { DecodeError, decodeText, decodeValue } from "./core/decode";
export { checkReferences } from "./core/references";
