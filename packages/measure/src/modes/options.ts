/** What the tool is asked for. */
import {PolicyKind} from '@goldcrestpier/settings';
import type {FleetProgram} from '../fleet/index.js';
import {PROFILES, type Profile} from '../load/index.js';

/** What the tool is asked for, checked. */
export interface MeasureOptions {
  readonly profile: Profile;
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
  /** Zones of the mode fleet, whose entries and runners are for each zone. */
  readonly zones: number;
  /** Jobs that all callers together send, of the mode fleet. */
  readonly jobsPerSecond: number;
  /** How the mode fleet runs the program. */
  readonly fleetProgram: FleetProgram;
}

/** Reads the options as the command line has them; throws on wrong ones. */
export function readOptions(
  raw: Readonly<Record<string, unknown>>,
): MeasureOptions {
  const profile = PROFILES[String(raw['profile'])];
  if (profile === undefined) {
    throw new Error(`--profile: one of ${Object.keys(PROFILES).join(', ')}`);
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
    fleetProgram: readProgram(raw),
  };
}

function readProgram(raw: Readonly<Record<string, unknown>>): FleetProgram {
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
  throw new Error(`--${name}: expected a number above 0`);
}

function readNumbers(raw: Readonly<Record<string, unknown>>, name: string) {
  const values = String(raw[name]).split(',').map(Number);
  if (values.every(value => Number.isInteger(value) && value > 0))
    return values;
  throw new Error(`--${name}: expected whole numbers with commas between`);
}

function readPolicy(value: unknown): PolicyKind {
  const policy = Object.values(PolicyKind).find(each => each === value);
  if (policy !== undefined) return policy;
  const names = Object.values(PolicyKind).join(', ');
  throw new Error(`--policy and --versus: one of ${names}`);
}
