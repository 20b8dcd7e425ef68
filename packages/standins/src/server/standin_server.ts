/**
 * HTTP server shared by the stand-ins. Faults apply to a stand-in's own routes,
 * never to the `/admin` routes. The admin routes are also served on a second
 * port, which stays open while the first one refuses connections.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {sleep, type Lifecycle} from '@goldcrestpier/runtime';
import {faultsSchema, FaultState} from './faults.js';
import {HttpListener} from './http_listener.js';
import {
  HttpStatus,
  readRequest,
  createReply,
  createBadRequestReply,
  ReplyCode,
  ReplyKind,
  sendJson,
  type RequestHandler,
  type JsonRequest,
  type Reply,
} from './messages.js';
import {Records} from './records.js';

const NO_LIMIT = Number.POSITIVE_INFINITY;

/** State of a stand-in's server, as its health route reports it. */
export enum ServerState {
  Live = 'live',
  Leaving = 'leaving',
}

/** Options of a `StandinServer`. */
export interface StandinServerOptions {
  readonly name: string;
  /** Port for all routes; a free one for 0 or undefined. */
  readonly port?: number;
  /** Second port for the admin routes; a free one for 0 or undefined. */
  readonly adminPort?: number;
  /** Further connections are closed on arrival; unlimited by default. */
  readonly connectionLimit?: number;
  /** Handles the stand-in's own routes. */
  readonly handle: RequestHandler;
  /** Handles admin routes that only this stand-in has. */
  readonly handleAdmin?: RequestHandler;
}

/** A running stand-in. */
export interface Standin {
  readonly name: string;
  /** `host:port` of the stand-in's own routes. */
  readonly address: string;
  /** `host:port` of the admin routes, which no fault affects. */
  readonly adminAddress: string;
  readonly faults: FaultState;
  readonly records: Records;
}

/** Listeners, faults and records of one stand-in. */
export class StandinServer {
  readonly faults = new FaultState();
  readonly records: Records;
  private readonly listener: HttpListener;
  private readonly adminListener: HttpListener;
  private taskReplyCount = 0;

  constructor(private readonly options: StandinServerOptions) {
    this.listener = new HttpListener(
      (message, response) => this.serve(message, response),
      options.connectionLimit ?? NO_LIMIT,
    );
    this.adminListener = new HttpListener(
      (message, response) => this.serve(message, response),
      NO_LIMIT,
    );
    this.records = new Records(options.name, () =>
      this.listener.countConnections(),
    );
    this.faults.onChange(({refuseConnections}) => {
      if (refuseConnections) this.listener.stopAccepting();
      else void this.listener.resumeAccepting();
    });
  }

  /** `host:port` of the stand-in's own routes. */
  get address(): string {
    return this.listener.address;
  }

  /** `host:port` of the admin routes, which no fault affects. */
  get adminAddress(): string {
    return this.adminListener.address;
  }

  /** Listens until `lifecycle` closes. Rejects if a port is in use. */
  async listen(lifecycle: Lifecycle): Promise<void> {
    await this.listener.listen(this.options.port ?? 0);
    lifecycle.own(`${this.options.name} listener`, () => this.listener.close());
    await this.adminListener.listen(this.options.adminPort ?? 0);
    lifecycle.own(`${this.options.name} admin listener`, () =>
      this.adminListener.close(),
    );
  }

  /** The state that the health route reports. */
  get state(): ServerState {
    return this.faults.current.leaving ? ServerState.Leaving : ServerState.Live;
  }

  /** Counts a refusal and creates the reply. */
  refuse(status: HttpStatus, code: ReplyCode): Reply {
    this.records.countRefusal(code);
    return createReply(status, {code});
  }

  /** Returns what users of a running stand-in need. */
  toStandin(): Standin {
    const {address, adminAddress, faults, records} = this;
    return {name: this.options.name, address, adminAddress, faults, records};
  }

  private async serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const request = await readRequest(message, response);
    if (request.isErr()) {
      const {status, body} = describeReadFailure(request.error);
      sendJson(response, status, body, true);
      return;
    }
    if (request.value.path[0] === 'admin') {
      this.send(response, await this.handleAdminRequest(request.value));
      return;
    }
    await this.serveWithFaults(request.value, response);
  }

  private async serveWithFaults(
    request: JsonRequest,
    response: ServerResponse,
  ): Promise<void> {
    await this.faults.waitWhileFrozen();
    this.records.countRequest(formatRequestKind(request));
    const reply = (await this.options.handle(request)) ?? createNotFound();
    await this.faults.waitWhileFrozen();
    const {replyDelayMs} = this.faults.current;
    if (replyDelayMs > 0) await sleep(replyDelayMs);
    this.send(response, this.loseEveryNth(reply));
  }

  /** Applies `loseEveryNthReply` to replies of requests that started a task. */
  private loseEveryNth(reply: Reply): Reply {
    if (reply.kind === ReplyKind.Reset) return reply;
    if (reply.hasStartedTask !== true) return reply;
    const {loseEveryNthReply} = this.faults.current;
    this.taskReplyCount += 1;
    const isLost =
      loseEveryNthReply > 0 && this.taskReplyCount % loseEveryNthReply === 0;
    return isLost ? {kind: ReplyKind.Reset} : reply;
  }

  private send(response: ServerResponse, reply: Reply): void {
    switch (reply.kind) {
      case ReplyKind.Json:
        sendJson(
          response,
          reply.status,
          reply.body,
          !this.listener.isListening,
        );
        break;
      case ReplyKind.Reset:
        this.records.countLostReply();
        response.socket?.destroy();
        break;
    }
  }

  private async handleAdminRequest(request: JsonRequest): Promise<Reply> {
    switch (`${request.method} ${request.path[1]}`) {
      case 'GET faults':
        return createReply(HttpStatus.Ok, this.faults.current);
      case 'PUT faults':
        return this.putFaults(request.body);
      case 'GET starts':
        return this.createStartsReply(Number(request.query.get('from') ?? 0));
      case 'DELETE starts':
        this.records.clearStarts();
        return createReply(HttpStatus.Ok, {});
      case 'GET counts':
        return createReply(HttpStatus.Ok, this.records.report());
      default:
        return (await this.options.handleAdmin?.(request)) ?? createNotFound();
    }
  }

  private createStartsReply(from: number): Reply {
    return createReply(HttpStatus.Ok, this.records.starts.slice(from));
  }

  private putFaults(body: unknown): Reply {
    const faults = faultsSchema.safeParse(body);
    if (!faults.success) return createBadRequestReply(faults.error.message);
    this.faults.set(faults.data);
    return createReply(HttpStatus.Ok, this.faults.current);
  }
}

/** Method and path; the third segment is an id and becomes `*`. */
function formatRequestKind({method, path}: JsonRequest): string {
  const kind = path.map((part, index) => (index === 2 ? '*' : part));
  return `${method} /${kind.join('/')}`;
}

function createNotFound(): Reply {
  return createReply(HttpStatus.NotFound, {code: ReplyCode.NotFound});
}

function describeReadFailure(reason: string) {
  return {
    status: HttpStatus.BadRequest,
    body: {code: ReplyCode.BadRequest, reason},
  };
}
