/** Resource usage of processes, read from /proc. */
import {readFileSync} from 'node:fs';

/** Unit of CPU times in /proc (USER_HZ); fixed on Linux. */
const CPU_TICKS_PER_SECOND = 100;
const KIBIBYTE = 1_024;

/**
 * Resources that a process has used since its start, and its current memory.
 */
export interface Usage {
  readonly processorSeconds: number;
  /** Voluntary context switches of its main thread. */
  readonly wakes: number;
  /** Bytes written to sockets and to the log. */
  readonly writtenBytes: number;
  readonly residentMb: number;
  readonly peakMb: number;
}

/** Reads the usage of a process; undefined when it has ended. */
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
    // The process has ended, and its files in /proc with it.
    return undefined;
  }
}

function readProcessorSeconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // Fields are counted after the process name, which may contain spaces.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks / CPU_TICKS_PER_SECOND;
}

function readFields(path: string): Map<string, number> {
  const fields = new Map<string, number>();
  for (const line of readFileSync(path, 'utf8').split('\n')) {
    const [name = '', value = ''] = line.split(':');
    fields.set(name, Number.parseInt(value, 10));
  }
  return fields;
}
