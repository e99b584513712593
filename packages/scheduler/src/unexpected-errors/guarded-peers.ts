/** Keeps an unexpected error in one request between processes from ending the process or the connection. */
import type { PeerNetwork } from '../ports/index.js';
import { guardCall } from './guard-call.js';
import type { ReportUnexpectedError } from './report-unexpected-error.js';

/** Wraps a network, so that neither requests nor the answers to them reject; a failed one gets the response null. */
export function guardPeers(peers: PeerNetwork, report: ReportUnexpectedError): PeerNetwork {
  return {
    ...peers,
    listen: (answer) =>
      peers.listen((content) =>
        guardCall<unknown>(
          async () => answer(content),
          (error) => {
            report('answer-peer', error);
            return null;
          },
        ),
      ),
    request: (address, content, timeoutMilliseconds) =>
      guardCall<unknown>(
        async () => peers.request(address, content, timeoutMilliseconds),
        (error) => {
          report('request-peer', error, { address });
          return null;
        },
      ),
  };
}
