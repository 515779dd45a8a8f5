import * as common from '@jayhaven/common';
import * as http from 'node:http';
import type * as stream from 'node:stream';

/** Statuses of requests that can't be read, by the error code of Node.js; 400 for any other. */
const statuses: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};

/**
 * Answers requests that can't be read or are not received in time. The default of Node.js writes the error at once, where
 * the caller takes it for the answer to an earlier request on the connection that is still in progress.
 */
export class InvalidRequests {
  private readonly _responses = new common.OpenResponses();
  /** Connections that have been refused; each further read of an invalid request reports its error again. */
  private readonly _refused = new WeakSet<stream.Duplex>();

  /** Records a request until its response has been closed. */
  public track(request: http.IncomingMessage, response: http.ServerResponse): void {
    this._responses.track(request, response);
  }

  /** True if no later request on the connection of a response is in progress. */
  public isLast(response: http.ServerResponse): boolean {
    return this._responses.isLast(response);
  }

  /** True if the connection of a request has been refused, so that no further request on it is answered. */
  public isRefused({ socket }: http.IncomingMessage): boolean {
    return this._refused.has(socket);
  }

  /** Answers an invalid request and closes its connection, once the requests received before it have been answered. */
  public refuse(error: NodeJS.ErrnoException, socket: stream.Duplex): void {
    if (this._refused.has(socket)) {
      return;
    }
    this._refused.add(socket);
    if (!socket.writable) {
      socket.destroy();
    } else if (this._responses.closeAfterAnswers(socket)) {
      return;
    } else if (this._responses.hasBegun(socket)) {
      socket.destroy();
    } else {
      const status = statuses[error.code ?? ''] ?? 400;
      const line = `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}`;
      socket.end(`${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`, () => {
        socket.destroy();
      });
    }
  }
}
