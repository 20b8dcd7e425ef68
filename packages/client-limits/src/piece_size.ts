/** Chooses how many received bytes the HTTP server parses at once. */
import type {RequestProgress} from './request_progress.js';

/** Size of a piece; an ordinary request is one piece. */
const PIECE_BYTES = 1_024;
/** Size of a piece while memory is short: three of the shortest requests. */
const SMALL_PIECE_BYTES = 64;
/** Size of a piece of a chunked body while memory is short. */
const SMALL_BODY_PIECE_BYTES = 256;

/** Chooses the size of the next piece, in bytes. */
export function choosePieceBytes(
  {
    inProgress,
    isReadingBody,
    declaredRest,
  }: Pick<RequestProgress, 'inProgress' | 'isReadingBody' | 'declaredRest'>,
  isUnderPressure: boolean,
): number {
  if (inProgress > 1) return SMALL_PIECE_BYTES;
  // What ends with the body holds no other request.
  if (declaredRest > PIECE_BYTES) return declaredRest;
  if (!isUnderPressure) return PIECE_BYTES;
  return isReadingBody ? SMALL_BODY_PIECE_BYTES : SMALL_PIECE_BYTES;
}
