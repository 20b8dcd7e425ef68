/** Command line options of the measuring tool. */
import {PolicyKind} from '@goldcrestpier/settings';
import type {FleetProgram} from '../fleet/index.js';
import {LOAD_PROFILES, type LoadProfile} from '../load/index.js';

/** Checked options of the measuring tool. */
export interface MeasureOptions {
  readonly profile: LoadProfile;
  readonly load: number;
  readonly seed: number;
  readonly seconds: number;
  /** Rounds of each policy. */
  readonly rounds: number;
  readonly policy: PolicyKind;
  readonly versus: PolicyKind | undefined;
  readonly hasFaults: boolean;
  readonly isRelayed: boolean;
  /** Whether callers cancel jobs in waves. */
  readonly hasWaves: boolean;
  readonly betweenZonesMs: number;
  readonly entries: readonly number[];
  readonly runners: readonly number[];
  /** Zones in mode `fleet`; `entries` and `runners` are per zone there. */
  readonly zones: number;
  /** Jobs per second of all callers together in mode `fleet`. */
  readonly jobsPerSecond: number;
  /** The program to run in mode `fleet`. */
  readonly fleetProgram: FleetProgram;
}

/** Checks the options of the command line; throws for an invalid one. */
export function readOptions(
  raw: Readonly<Record<string, unknown>>,
): MeasureOptions {
  const profile = LOAD_PROFILES[String(raw['profile'])];
  if (profile === undefined) {
    throw new Error(
      `--profile: expected one of ${Object.keys(LOAD_PROFILES).join(', ')}`,
    );
  }
  const versus = raw['versus'];
  return {
    profile,
    load: readNumber(raw, 'load'),
    seed: readNumber(raw, 'seed'),
    seconds: readNumber(raw, 'seconds'),
    rounds: readNumber(raw, 'rounds'),
    policy: readPolicy(raw['policy']),
    versus: versus === undefined ? undefined : readPolicy(versus),
    hasFaults: raw['faults'] === true,
    isRelayed: raw['relays'] !== false,
    hasWaves: raw['waves'] !== false,
    betweenZonesMs: readNumber(raw, 'delay'),
    entries: readNumbers(raw, 'entries'),
    runners: readNumbers(raw, 'runners'),
    zones: readNumber(raw, 'zones'),
    jobsPerSecond: Number(raw['jobs']),
    fleetProgram: readFleetProgram(raw),
  };
}

function readFleetProgram(
  raw: Readonly<Record<string, unknown>>,
): FleetProgram {
  const {program, flags} = raw;
  return {
    program: typeof program === 'string' ? program : undefined,
    nodeArguments: typeof flags === 'string' ? flags.split(' ') : [],
    isProfiled: raw['profiled'] === true,
  };
}

function readNumber(raw: Readonly<Record<string, unknown>>, name: string) {
  const value = Number(raw[name]);
  if (Number.isFinite(value) && value > 0) return value;
  throw new Error(`--${name}: expected a number greater than 0`);
}

function readNumbers(raw: Readonly<Record<string, unknown>>, name: string) {
  const values = String(raw[name]).split(',').map(Number);
  if (values.every(value => Number.isInteger(value) && value > 0))
    return values;
  throw new Error(
    `--${name}: expected whole numbers greater than 0, separated by commas`,
  );
}

function readPolicy(value: unknown): PolicyKind {
  const policy = Object.values(PolicyKind).find(each => each === value);
  if (policy !== undefined) return policy;
  const names = Object.values(PolicyKind).join(', ');
  throw new Error(`--policy and --versus: expected one of ${names}`);
}
