import type { MachineType } from '../../protocol/cloud.js';
import type { TypeName, ZoneName } from '../../protocol/ids.js';

/**
 * Machine kinds, the units in which the provider rents machines out. This module owns the key by which refusals and requests
 * of one kind are grouped; it never decides what to request.
 */

/** A machine type in one zone, at the ordinary price or as a spot machine. */
export interface MachineKind {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
}

/** The key of a machine kind, `type/zone/spot` or `type/zone/ordinary`. It also appears in logs and explanations. */
export const machineKindKey = (type: TypeName, zone: ZoneName, spot: boolean): string =>
  `${type}/${zone}/${spot ? 'spot' : 'ordinary'}`;
