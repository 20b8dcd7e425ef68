/** A request that counts how much of its body has been read. */
import {IncomingMessage} from 'node:http';

/** The HTTP server creates it in place of its own class. */
export class CountedRequest extends IncomingMessage {
  private bytes = 0;

  /** Number of bytes of the body that were read. */
  get bodyBytes(): number {
    return this.bytes;
  }

  /** Appends a part of the body; the HTTP server calls it. */
  override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
    this.bytes += chunk?.length ?? 0;
    return super.push(chunk, encoding);
  }
}
