import { playScenarios } from './standin/play.js';

playScenarios(0, 4);
