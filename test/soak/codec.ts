/**
 * Codec of the endpoints of a soak, whose engines tell by a report which of their processes they are.
 */
import { EngineStage } from "../../src/fleet/entries";
import type { EndpointCodec } from "../../src/forward/requests/messages";
import { TestEndpointCodec } from "../harness/forward";

/** Path of the report of an engine: when its process started. */
export const REPORT_PATH = "/report";

const OK = 200;

/** Test codec with reports of engines. */
export class ReportCodec extends TestEndpointCodec {
  override createReportCall: EndpointCodec["createReportCall"] = (endpoint) => {
    if (endpoint.stage !== EngineStage.decode) return undefined;
    const headers = ["x-expect", endpoint.id];
    return { method: "GET", path: REPORT_PATH, headers, body: undefined };
  };

  override readProcessStart: EndpointCodec["readProcessStart"] = (status, body) => {
    const startedAt = Number(body.toString());
    return status === OK && startedAt > 0 ? startedAt : undefined;
  };
}
