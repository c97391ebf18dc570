import { playScenarios } from './standin/play.js';

playScenarios(1, 4);
