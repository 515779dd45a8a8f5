import * as http from 'node:http';
import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import { JSONRPCClient, isJSONRPCResponse, type JSONRPCResponse } from 'json-rpc-2.0';
import type { PeerFailure } from '../Types.js';
import type { TrafficCounter } from './TrafficCounter.js';

/** Limit of calls in flight to one peer, queued ones included. It bounds the memory used for a peer that hangs. */
const maximumCallsPerPeer = 256;
/** Limit of sockets per peer. More make a burst slower: opening 64 to each of 8 peers takes longer than the calls. */
const maximumSocketsPerPeer = 16;
/** Heartbeats use separate sockets, so that they are not delayed by slow calls, which would look like a failed peer. */
const heartbeatMethod = 'peer.heartbeat';
const maximumHeartbeatSockets = 2;
/** Large enough for a complete state of the control topic. */
const maximumResponseBytes = 64 * 1024 * 1024;

interface Call {
  readonly address: decisions.Address;
  readonly timeoutMs: number;
  readonly agent: http.Agent;
  /** Stored here because the JSON-RPC client preserves only the message of an error. */
  failure: PeerFailure | undefined;
}

class CallError extends Error {
  public constructor(public readonly failure: PeerFailure) {
    super(failure.message);
  }
}

/** JSON-RPC 2.0 calls over HTTP with keep-alive. */
export class RpcClient implements AsyncDisposable {
  private readonly _agent = new http.Agent({ keepAlive: true, maxSockets: maximumSocketsPerPeer });
  private readonly _heartbeatAgent = new http.Agent({ keepAlive: true, maxSockets: maximumHeartbeatSockets });
  private readonly _inFlight = new Map<string, number>();
  private readonly _client: JSONRPCClient<Call>;

  public constructor(private readonly _traffic: TrafficCounter) {
    this._client = new JSONRPCClient<Call>(async (payload: unknown, call: Call) => {
      try {
        this._client.receive(await this._post(payload, call, true));
      } catch (error) {
        call.failure = error instanceof CallError ? error.failure : undefined;
        throw error;
      }
    });
  }

  /** Calls a method at an address. */
  public async call(
    address: decisions.Address,
    method: string,
    parameters: Readonly<Record<string, unknown>>,
    timeoutMs: number,
  ): Promise<common.Outcome<unknown, PeerFailure>> {
    const peer = `${address.host}:${address.port}`;
    const inFlight = this._inFlight.get(peer) ?? 0;
    if (inFlight >= maximumCallsPerPeer) {
      return common.fail({ kind: 'error', message: `${inFlight} calls to ${peer} are in flight` });
    }
    this._inFlight.set(peer, inFlight + 1);
    const agent = method === heartbeatMethod ? this._heartbeatAgent : this._agent;
    const call: Call = { address, timeoutMs, agent, failure: undefined };
    try {
      return common.succeed(await this._client.request(method, parameters, call));
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      return common.fail(call.failure ?? { kind: 'error', message });
    } finally {
      this._decrementInFlight(peer);
    }
  }

  public [Symbol.asyncDispose](): Promise<void> {
    this._agent.destroy();
    this._heartbeatAgent.destroy();
    return Promise.resolve();
  }

  private _decrementInFlight(peer: string): void {
    const inFlight = (this._inFlight.get(peer) ?? 1) - 1;
    if (inFlight === 0) {
      this._inFlight.delete(peer);
    } else {
      this._inFlight.set(peer, inFlight);
    }
  }

  private _post(payload: unknown, call: Call, mayRetry: boolean): Promise<JSONRPCResponse> {
    return new Promise((resolve, reject) => {
      const body = Buffer.from(JSON.stringify(payload));
      const { host, port } = call.address;
      const headers = { 'content-type': 'application/json', 'content-length': body.length };
      const request = http.request({ host, port, path: '/rpc', method: 'POST', agent: call.agent, headers });
      const timer = setTimeout(() => {
        reject(new CallError({ kind: 'timeout', message: `no answer within ${call.timeoutMs} ms` }));
        request.destroy();
      }, call.timeoutMs);
      request.on('socket', (socket) => {
        this._traffic.add(socket);
      });
      request.on('error', (error: NodeJS.ErrnoException) => {
        clearTimeout(timer);
        if (mayRetry && request.reusedSocket && error.code === 'ECONNRESET') {
          // The peer closed an idle connection just as the call was sent. All methods may be retried.
          this._post(payload, call, false).then(resolve, reject);
          return;
        }
        const kind = error.code === 'ECONNREFUSED' ? 'refused' : 'unreachable';
        reject(new CallError({ kind, message: error.message }));
      });
      request.on('response', (response) => {
        readResponse(response)
          .then(resolve, (error: unknown) => {
            reject(new CallError({ kind: 'unreachable', message: String(error) }));
          })
          .finally(() => {
            clearTimeout(timer);
          });
      });
      request.end(body);
    });
  }
}

async function readResponse(response: http.IncomingMessage): Promise<JSONRPCResponse> {
  const fault = common.statusFault(response);
  if (fault !== undefined) {
    response.destroy();
    throw new Error(fault);
  }
  const text = await common.readBody(response, maximumResponseBytes);
  const message: unknown = JSON.parse(text);
  if (!isJSONRPCResponse(message)) {
    throw new Error(`answer with status ${response.statusCode ?? 0} is not JSON-RPC`);
  }
  return message;
}
