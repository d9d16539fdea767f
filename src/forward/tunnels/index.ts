/**
 * Opens connections to endpoints, directly or over a peer.
 */
export {
  ConnectState,
  type DialOptions,
  Dialer,
  type EndpointDialer,
  type WayListener,
} from "./dialer";
export type { DialledSocket } from "./dialrun";
export { TcpOpener } from "./directopener";
export { DirectLinkChecker, type LinkChecker } from "./linkcheck";
export { type EndpointSocket, LEAVING_EVENT, type TunnelOpener } from "./openers";
export { PathTracker, isSameProcess } from "./paths";
export { PeerTunnelOpener } from "./peer";
export { TunnelServer } from "./server";
export type { TunnelServerCall } from "./tunnel";
