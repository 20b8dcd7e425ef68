/** What processes use, by the system's account. */
import {readFileSync} from 'node:fs';

/** Ticks of the processor account in a second; fixed on Linux. */
const TICKS_PER_SECOND = 100;
const KIBIBYTE = 1_024;

/** Figures of one process since its start, and its memory now. */
export interface Usage {
  readonly processorSeconds: number;
  /** Times that its main thread was woken after a wait. */
  readonly wakes: number;
  /** Bytes written to sockets and to the log. */
  readonly writtenBytes: number;
  readonly residentMb: number;
  readonly peakMb: number;
}

/** Reads the figures of a process; undefined when it is gone. */
export function readUsage(pid: number): Usage | undefined {
  try {
    const status = readFields(`/proc/${pid}/status`);
    const io = readFields(`/proc/${pid}/io`);
    return {
      processorSeconds: readProcessorSeconds(pid),
      wakes: status.get('voluntary_ctxt_switches') ?? 0,
      writtenBytes: io.get('wchar') ?? 0,
      residentMb: (status.get('VmRSS') ?? 0) / KIBIBYTE,
      peakMb: (status.get('VmHWM') ?? 0) / KIBIBYTE,
    };
  } catch {
    // Its files go with it.
    return undefined;
  }
}

function readProcessorSeconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // Counted from behind the name, which may hold spaces.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks / TICKS_PER_SECOND;
}

function readFields(path: string): Map<string, number> {
  const fields = new Map<string, number>();
  for (const line of readFileSync(path, 'utf8').split('\n')) {
    const [name = '', value = ''] = line.split(':');
    fields.set(name, Number.parseInt(value, 10));
  }
  return fields;
}
