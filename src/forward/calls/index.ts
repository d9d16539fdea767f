/**
 * Runs requests at plain services.
 */
export { ServiceRun } from "./run";
