/** The memory that all clients of an instance together can make it hold. */

const BYTES_PER_MB = 1_024 * 1_024;
/** What an instance needs itself, in MB: code, workers, jobs of other owners. */
const OWN_MB = 130;
/**
 * Share of the rest: released memory is collected late, and until then takes more
 * than as much again. At 0.5, 2,600 clients that send bodies make an instance
 * take 192 of 210 MB.
 */
const CLIENT_SHARE = 0.4;
const MIN_BUDGET_BYTES = 8 * BYTES_PER_MB;
/** Limit on large machines: the heap (160 MB) does not grow with the machine. */
const MAX_BUDGET_BYTES = 48 * BYTES_PER_MB;
/** Accounts that hold no more are not reclaimed: a connection and some requests. */
const MIN_RECLAIMED_BYTES = 10 * 1_024;
/** Greatest amount for which others are reclaimed; no large body is worth it. */
const MAX_RECLAIMING_BYTES = 64 * 1_024 + 4_096;
/** Share of the budget from which clients are read in small steps. */
const PRESSURE_SHARE = 0.5;

/** Computes the budget for a machine, in bytes. */
export function computeBudget(memoryMb: number): number {
  const bytes = (memoryMb - OWN_MB) * CLIENT_SHARE * BYTES_PER_MB;
  return Math.min(Math.max(bytes, MIN_BUDGET_BYTES), MAX_BUDGET_BYTES);
}

/** Counts the memory that clients hold, in bytes. */
export class MemoryBudget {
  private used = 0;
  private readonly reclaimable = new Set<MemoryAccount>();

  constructor(private readonly limitBytes: number) {}

  /** Whether so much is used that clients are read in small steps. */
  get isUnderPressure(): boolean {
    return this.used >= this.limitBytes * PRESSURE_SHARE;
  }

  /**
   * Opens an account, which its owner has to close. With `onReclaim` the owner is
   * told to give back all that it holds, at once, if others need memory.
   */
  openAccount(onReclaim?: () => void): MemoryAccount {
    const account = new MemoryAccount(this, onReclaim);
    if (onReclaim !== undefined) this.reclaimable.add(account);
    return account;
  }

  /**
   * Changes what an account holds, if a share of the budget has room for it. For a
   * small amount that may use the whole budget, the largest others are reclaimed.
   */
  tryMove(account: MemoryAccount, toBytes: number, share: number): boolean {
    const limitBytes = this.limitBytes * share;
    const growth = toBytes - account.heldBytes;
    const mayReclaim = share === 1 && growth <= MAX_RECLAIMING_BYTES;
    while (growth > 0 && this.used + growth > limitBytes) {
      if (!mayReclaim) return false;
      const largest = this.findLargest(account, toBytes);
      if (largest === undefined) return false;
      largest.reclaim();
    }
    this.used += growth;
    return true;
  }

  /** Forgets a closed account. */
  forget(account: MemoryAccount): void {
    this.reclaimable.delete(account);
  }

  /**
   * The largest account that can be reclaimed for another one. One that can be
   * reclaimed itself takes nothing from those that hold no more than it wants.
   */
  private findLargest(
    account: MemoryAccount,
    toBytes: number,
  ): MemoryAccount | undefined {
    const isReclaimable = this.reclaimable.has(account);
    let mostBytes = isReclaimable ? toBytes : MIN_RECLAIMED_BYTES;
    let largest: MemoryAccount | undefined;
    for (const other of this.reclaimable) {
      if (other.heldBytes <= mostBytes || other === account) continue;
      mostBytes = other.heldBytes;
      largest = other;
    }
    return largest;
  }
}

/** What one client or one request holds of the budget. */
export class MemoryAccount {
  private held = 0;
  private isClosed = false;

  constructor(
    private readonly budget: MemoryBudget,
    private readonly onReclaim: () => void = () => undefined,
  ) {}

  /** What is held now, in bytes. */
  get heldBytes(): number {
    return this.held;
  }

  /**
   * Adds to what is held, as long as no more than a share of the budget is used;
   * false, and nothing is added, if there is too little.
   */
  tryTake(bytes: number, share = 1): boolean {
    return this.trySet(this.held + bytes, share);
  }

  /** Changes what is held; a smaller amount is always possible. */
  trySet(bytes: number, share = 1): boolean {
    if (this.isClosed || !this.budget.tryMove(this, bytes, share)) return false;
    this.held = bytes;
    return true;
  }

  /** Returns all that is held, after its owner has closed what held it. */
  reclaim(): void {
    this.onReclaim();
    this.close();
  }

  /** Returns all that is held. */
  close(): void {
    this.trySet(0);
    this.isClosed = true;
    this.budget.forget(this);
  }
}
