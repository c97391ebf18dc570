/** Division of independent changes into transactions that the state service accepts. */
import { jsonByteLength } from '../../protocol/codec.js';
import type { Change } from '../../protocol/state.js';

/** The service's limit for a whole transaction, in JSON, less the encoding around its changes. */
const MAX_TRANSACTION_BYTES = 64 * 1024 - 2048;

/** Upper bound of the bytes that separate a change from the next. */
const CHANGE_OVERHEAD_BYTES = 16;

/** Divides changes that need no common transaction, in order, into transactions as large as the limits allow. */
export function splitIntoTransactions(changes: readonly Change[], txnOps: number): Change[][] {
  const transactions: Change[][] = [];
  let bytes = Infinity;
  for (const change of changes) {
    const changeBytes = jsonByteLength(change) + CHANGE_OVERHEAD_BYTES;
    let last = transactions.at(-1);
    if (!last || bytes + changeBytes > MAX_TRANSACTION_BYTES || last.length >= txnOps) {
      transactions.push((last = []));
      bytes = 0;
    }
    last.push(change);
    bytes += changeBytes;
  }
  return transactions;
}
