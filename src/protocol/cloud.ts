import * as z from 'zod';
import { nonNegativeNumber, encode } from './codec.js';
import type { Address, MachineId, TypeName, ZoneName } from './ids.js';
import { F, invert, MachineStates, Paths, type MachineState } from './wire.js';

export interface MachineType {
  readonly name: TypeName;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly ZoneName[];
}

const machineTypeSchema = z
  .object({
    [F.name]: z.string().min(1),
    [F.cpus]: nonNegativeNumber,
    [F.gpus]: nonNegativeNumber,
    [F.memoryGb]: nonNegativeNumber,
    [F.cacheGb]: nonNegativeNumber,
    [F.fetchGbPerS]: nonNegativeNumber,
    [F.price]: nonNegativeNumber,
    [F.spotPrice]: nonNegativeNumber,
    [F.bootS]: nonNegativeNumber,
    [F.zones]: z.array(z.string()),
  })
  .transform((wire): MachineType => ({
    name: wire[F.name] as TypeName,
    cpus: wire[F.cpus],
    gpus: wire[F.gpus],
    memoryGb: wire[F.memoryGb],
    cacheGb: wire[F.cacheGb],
    fetchGbPerS: wire[F.fetchGbPerS],
    price: wire[F.price],
    spotPrice: wire[F.spotPrice],
    bootS: wire[F.bootS],
    zones: wire[F.zones] as ZoneName[],
  }));

export const catalogSchema = z.object({ [F.types]: z.array(machineTypeSchema) }).transform((w) => w[F.types]);

export const encodeCatalog = (types: readonly MachineType[]): Uint8Array =>
  encode({
    [F.types]: types.map((type) => ({
      [F.name]: type.name,
      [F.cpus]: type.cpus,
      [F.gpus]: type.gpus,
      [F.memoryGb]: type.memoryGb,
      [F.cacheGb]: type.cacheGb,
      [F.fetchGbPerS]: type.fetchGbPerS,
      [F.price]: type.price,
      [F.spotPrice]: type.spotPrice,
      [F.bootS]: type.bootS,
      [F.zones]: type.zones,
    })),
  });

export interface ScaleOutRequest {
  readonly request: string;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly count: number;
}

export const encodeScaleOutRequest = (request: ScaleOutRequest): Uint8Array =>
  encode({
    [F.request]: request.request,
    [F.type]: request.type,
    [F.zone]: request.zone,
    [F.spot]: request.spot,
    [F.count]: request.count,
  });

export const scaleOutRequestSchema = z
  .object({
    [F.request]: z.string(),
    [F.type]: z.string(),
    [F.zone]: z.string(),
    [F.spot]: z.boolean(),
    [F.count]: z.number().int(),
  })
  .transform((wire): ScaleOutRequest => ({
    request: wire[F.request],
    type: wire[F.type] as TypeName,
    zone: wire[F.zone] as ZoneName,
    spot: wire[F.spot],
    count: wire[F.count],
  }));

export const machineNamesSchema = z
  .object({ [F.machines]: z.array(z.string()) })
  .transform((w) => w[F.machines] as MachineId[]);
export const encodeMachineNames = (names: readonly MachineId[]): Uint8Array =>
  encode({ [F.machines]: names });

export interface ListedMachine {
  readonly id: MachineId;
  readonly address: Address;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly state: MachineState;
  readonly ageS: number;
}

const machineStateByWireName = invert(MachineStates);

export const machineListSchema = z
  .object({
    [F.machines]: z.array(
      z.object({
        [F.id]: z.string(),
        [F.address]: z.string(),
        [F.type]: z.string(),
        [F.zone]: z.string(),
        [F.spot]: z.boolean(),
        [F.state]: z.string(),
        [F.ageS]: nonNegativeNumber,
      }),
    ),
    [F.more]: z.boolean().nullish(),
  })
  .transform((wire) => ({
    machines: wire[F.machines].map((machine): ListedMachine => ({
      id: machine[F.id] as MachineId,
      address: machine[F.address] as Address,
      type: machine[F.type] as TypeName,
      zone: machine[F.zone] as ZoneName,
      spot: machine[F.spot],
      state: machineStateByWireName.get(machine[F.state]) ?? 'booting',
      ageS: machine[F.ageS],
    })),
    more: wire[F.more] ?? false,
  }));

export const encodeMachineList = (machines: readonly ListedMachine[], more: boolean): Uint8Array =>
  encode({
    [F.machines]: machines.map((machine) => ({
      [F.id]: machine.id,
      [F.address]: machine.address,
      [F.type]: machine.type,
      [F.zone]: machine.zone,
      [F.spot]: machine.spot,
      [F.state]: MachineStates[machine.state],
      [F.ageS]: machine.ageS,
    })),
    [F.more]: more,
  });

export const listPath = (after: string, limit: number): string =>
  `${Paths.machines}?${F.after}=${encodeURIComponent(after)}&${F.limit}=${limit}`;
