import type * as http from 'node:http';
import type * as stream from 'node:stream';

/**
 * The responses in progress on the connections of a server. Anything that the server writes to a connection beside them, such
 * as the error of the next request, is taken by the caller for the answer to the request in progress.
 */
export class OpenResponses {
  private readonly _responses = new WeakMap<stream.Duplex, Set<http.ServerResponse>>();
  private readonly _closing = new WeakSet<stream.Duplex>();

  /** Records a request until its response has been closed. */
  public track(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { socket } = request;
    const responses = this._responses.get(socket) ?? new Set();
    this._responses.set(socket, responses.add(response));
    response.once('close', () => responses.delete(response));
  }

  /** True if a response on the connection has begun. */
  public hasBegun(socket: stream.Duplex): boolean {
    return this._open(socket).some((response) => response.headersSent);
  }

  /** True if no later request on the connection of a response is in progress. */
  public isLast(response: http.ServerResponse): boolean {
    const last = this._open(response.req.socket).at(-1);
    return last === undefined || last === response;
  }

  /** Makes a connection close after the last response in progress on it, as far as the responses have not begun. */
  public closeAfterLast(socket: stream.Duplex): void {
    const open = this._open(socket);
    const last = open.at(-1);
    for (const response of open.filter(({ headersSent }) => !headersSent)) {
      response.shouldKeepAlive = response !== last;
    }
  }

  /** Closes a connection once all requests received whole have been answered; false if there are none. */
  public closeAfterAnswers(socket: stream.Duplex): boolean {
    const last = this._open(socket)
      .filter((response) => response.req.complete)
      .at(-1);
    if (last === undefined || this._closing.has(socket)) {
      return last !== undefined;
    }
    this._closing.add(socket);
    if (!last.headersSent) {
      last.shouldKeepAlive = false;
    }
    last.once('close', () => {
      socket.end(() => {
        socket.destroy();
      });
    });
    return true;
  }

  private _open(socket: stream.Duplex): readonly http.ServerResponse[] {
    return [...(this._responses.get(socket) ?? [])];
  }
}
