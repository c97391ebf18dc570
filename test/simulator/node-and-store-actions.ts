import { afterFault, nodesNamed, type ActionTable } from './scenario-action.js';
import { parseTxnFault } from './scenario-parser.js';

/** How long after a spell of troubled transactions the last of them may still come. */
const LAST_TXN_S = 12;
const DEFAULT_CRASH_S = 3;
/** How long each node is away in a rolling restart. */
const ROLL_CRASH_MS = 2000;

/** Faults of controllers, of the state service and of the cloud's interface. */
export const nodeAndStoreActions: ActionTable = {
  crash: {
    arguments: ['node', '?', 'seconds'],
    play({ cluster }, [who, forS]) {
      const restartMs = Number(forS ?? DEFAULT_CRASH_S) * 1000;
      cluster.extendFaultsUntil(restartMs);
      for (const node of nodesNamed(cluster, who!)) cluster.crash(node, restartMs);
    },
  },
  stall: {
    arguments: ['node', 'seconds'],
    play({ cluster }, [who, forS]) {
      cluster.extendFaultsUntil(Number(forS) * 1000);
      for (const node of nodesNamed(cluster, who!)) cluster.stall(node, Number(forS) * 1000);
    },
  },
  roll: {
    arguments: ['seconds'],
    play({ cluster }, [everyS]) {
      cluster.extendFaultsUntil((Number(everyS) * cluster.nodes.length + 2) * 1000);
      for (const [i, node] of cluster.nodes.entries())
        cluster.time.after(i * Number(everyS) * 1000, () => {
          cluster.crash(node.member, ROLL_CRASH_MS);
        });
    },
  },
  hook: {
    arguments: ['word', 'count', 'word', '?', 'seconds'],
    play({ cluster }, [prefix, nth, ...fault]) {
      cluster.store.hooks.push({
        prefix: prefix === '*' ? '' : prefix!,
        nth: Number(nth),
        fault: parseTxnFault(fault),
      });
    },
  },
  refuse: {
    arguments: ['node', '?', 'seconds'],
    play({ cluster }, [who, forS]) {
      for (const node of nodesNamed(cluster, who!)) {
        cluster.store.refusedHosts.add(node);
        afterFault(cluster, forS, () => cluster.store.refusedHosts.delete(node));
      }
    },
  },
  outage: {
    arguments: ['service', '?', 'seconds'],
    play({ cluster }, [service, forS]) {
      const setOutage = (away: boolean): void => {
        if (service === 'store') cluster.store.setOutage(away);
        else cluster.cloud.outage = away;
      };
      setOutage(true);
      afterFault(cluster, forS, () => {
        setOutage(false);
      });
    },
  },
  'late-writes': {
    arguments: ['share', 'seconds'],
    play({ cluster }, [share, forS]) {
      cluster.extendFaultsUntil((Number(forS) + LAST_TXN_S) * 1000);
      cluster.store.lateWrites = { share: Number(share), until: cluster.time.now + Number(forS) * 1000 };
    },
  },
  'lost-answers': {
    arguments: ['share', 'seconds'],
    play({ cluster }, [share, forS]) {
      cluster.extendFaultsUntil((Number(forS) + LAST_TXN_S) * 1000);
      cluster.store.lostAnswers = { share: Number(share), until: cluster.time.now + Number(forS) * 1000 };
    },
  },
  'bad-answers': {
    arguments: ['share', 'seconds'],
    play({ cluster }, [share, forS]) {
      cluster.extendFaultsUntil((Number(forS) + LAST_TXN_S) * 1000);
      cluster.store.badAnswers = { share: Number(share), until: cluster.time.now + Number(forS) * 1000 };
    },
  },
  'slow-store': {
    arguments: ['share', 'seconds', 'seconds'],
    play({ cluster }, [share, delayS, forS]) {
      cluster.extendFaultsUntil((Number(forS) + LAST_TXN_S) * 1000);
      cluster.store.slowRequests = {
        share: Number(share),
        ms: Number(delayS) * 1000,
        until: cluster.time.now + Number(forS) * 1000,
      };
    },
  },
};
