/**
 * The HTTP server that all stand-ins share: their own routes behind the
 * faults, and `/admin` routes that no fault touches. The admin routes have a
 * listener of their own too, for while the first one refuses connections.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {sleep, type Lifecycle} from '@goldcrestpier/runtime';
import {faultsSchema, FaultSwitch} from './faults.js';
import {Listener} from './listener.js';
import {
  HttpStatus,
  readRequest,
  reply,
  replyBadRequest,
  ReplyCode,
  ReplyKind,
  sendJson,
  type Handler,
  type JsonRequest,
  type Reply,
} from './messages.js';
import {Records} from './records.js';

const NO_LIMIT = Number.POSITIVE_INFINITY;

/** What a stand-in sets up its server with. */
export interface ServerOptions {
  readonly name: string;
  /** Port of the stand-in's own routes; 0 takes a free one. */
  readonly port?: number;
  /** Port of the admin routes alone; 0 takes a free one. */
  readonly adminPort?: number;
  /** Connections beyond it are closed at once; no limit where it is absent. */
  readonly connectionLimit?: number;
  /** Answers the stand-in's own routes. */
  readonly handle: Handler;
  /** Answers admin routes beyond those that all stand-ins have. */
  readonly handleAdmin?: Handler;
}

/** A running stand-in. */
export interface Standin {
  readonly name: string;
  /** `host:port` of its wire form. */
  readonly address: string;
  /** `host:port` of the admin routes; answers under every fault. */
  readonly adminAddress: string;
  readonly faults: FaultSwitch;
  readonly records: Records;
}

/** A stand-in's listeners, faults and records. */
export class StandinServer {
  readonly faults = new FaultSwitch();
  readonly records: Records;
  private readonly listener: Listener;
  private readonly adminListener: Listener;
  private replies = 0;

  constructor(private readonly options: ServerOptions) {
    this.listener = new Listener(
      (message, response) => this.serve(message, response),
      options.connectionLimit ?? NO_LIMIT,
    );
    this.adminListener = new Listener(
      (message, response) => this.serve(message, response),
      NO_LIMIT,
    );
    this.records = new Records(options.name, () =>
      this.listener.countConnections(),
    );
    this.faults.onChange(({refuseConnections}) => {
      if (refuseConnections) this.listener.refuse();
      else void this.listener.acceptAgain();
    });
  }

  /** `host:port` of the stand-in's own routes. */
  get address(): string {
    return this.listener.address;
  }

  /** `host:port` of the admin routes; answers under every fault. */
  get adminAddress(): string {
    return this.adminListener.address;
  }

  /** Listens until `lifecycle` closes. Rejects when a port is taken. */
  async listen(lifecycle: Lifecycle): Promise<void> {
    await this.listener.listen(this.options.port ?? 0);
    lifecycle.own(`${this.options.name} listener`, () => this.listener.close());
    await this.adminListener.listen(this.options.adminPort ?? 0);
    lifecycle.own(`${this.options.name} admin listener`, () =>
      this.adminListener.close(),
    );
  }

  /** The door to a stand-in that listens. */
  describe(): Standin {
    const {address, adminAddress, faults, records} = this;
    return {name: this.options.name, address, adminAddress, faults, records};
  }

  private async serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const request = await readRequest(message, response);
    if (request.isErr()) {
      const {status, body} = describeUnreadable(request.error);
      sendJson(response, status, body, true);
      return;
    }
    if (request.value.path[0] === 'admin') {
      this.send(response, await this.answerAdmin(request.value));
      return;
    }
    await this.serveFaulty(request.value, response);
  }

  private async serveFaulty(
    request: JsonRequest,
    response: ServerResponse,
  ): Promise<void> {
    await this.faults.thawed();
    this.records.addRequest(describeRequest(request));
    const answer = (await this.options.handle(request)) ?? replyNotFound();
    await this.faults.thawed();
    const {replyDelayMs} = this.faults.current;
    if (replyDelayMs > 0) await sleep(replyDelayMs);
    this.send(response, this.withhold(answer));
  }

  /** Replaces every Nth reply of a started task by a reset, when asked to. */
  private withhold(answer: Reply): Reply {
    if (answer.kind === ReplyKind.Reset) return answer;
    if (answer.started !== true) return answer;
    const {loseEveryNthReply} = this.faults.current;
    this.replies += 1;
    const isLost =
      loseEveryNthReply > 0 && this.replies % loseEveryNthReply === 0;
    return isLost ? {kind: ReplyKind.Reset} : answer;
  }

  private send(response: ServerResponse, answer: Reply): void {
    switch (answer.kind) {
      case ReplyKind.Json:
        sendJson(
          response,
          answer.status,
          answer.body,
          !this.listener.isListening,
        );
        break;
      case ReplyKind.Reset:
        this.records.addLostReply();
        response.socket?.destroy();
        break;
    }
  }

  private async answerAdmin(request: JsonRequest): Promise<Reply> {
    switch (`${request.method} ${request.path[1]}`) {
      case 'GET faults':
        return reply(HttpStatus.Ok, this.faults.current);
      case 'PUT faults':
        return this.putFaults(request.body);
      case 'GET starts':
        return this.answerStarts(Number(request.query.get('from') ?? 0));
      case 'DELETE starts':
        this.records.clearStarts();
        return reply(HttpStatus.Ok, {});
      case 'GET counts':
        return reply(HttpStatus.Ok, this.records.report());
      default:
        return (await this.options.handleAdmin?.(request)) ?? replyNotFound();
    }
  }

  private answerStarts(from: number): Reply {
    return reply(HttpStatus.Ok, this.records.starts.slice(from));
  }

  private putFaults(body: unknown): Reply {
    const faults = faultsSchema.safeParse(body);
    if (!faults.success) return replyBadRequest(faults.error.message);
    this.faults.set(faults.data);
    return reply(HttpStatus.Ok, this.faults.current);
  }
}

/** Method and path, without the identity in third place. */
function describeRequest({method, path}: JsonRequest): string {
  const kind = path.map((part, index) => (index === 2 ? '*' : part));
  return `${method} /${kind.join('/')}`;
}

function replyNotFound(): Reply {
  return reply(HttpStatus.NotFound, {code: ReplyCode.NotFound});
}

function describeUnreadable(reason: string) {
  return {
    status: HttpStatus.BadRequest,
    body: {code: ReplyCode.BadRequest, reason},
  };
}
