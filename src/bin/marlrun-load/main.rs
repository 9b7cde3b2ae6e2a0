//! Load generator. Exits with 1 if the report counts a wrong response, a request that ran twice, or
//! a request that ran although it was refused; with 2 if the run itself failed.

mod app;

use app::App;
use clap::Parser;
use marlrun::load::{self, Report, Workload};
use std::{error::Error, fs, path::Path, process::ExitCode};

/// Exit code if the run or the writing of its report fails.
const EXIT_FAILED: u8 = 2;

fn main() -> ExitCode {
    match run(&App::parse()) {
        Ok(report) if report.violations() == 0 => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("marlrun-load: {e}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(app: &App) -> Result<Report, Box<dyn Error>> {
    let workload = Workload::open(&app.workload)?;
    let report = load::run(app.settings(), &workload)?;
    println!("{report}");
    if let Some(path) = &app.json {
        fs::write(path, serde_json::to_vec_pretty(&report)?)?;
    }
    if let Some(folder) = &app.plots {
        write_plots(folder, &report)?;
    }
    Ok(report)
}

fn write_plots(folder: &Path, report: &Report) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(folder)?;
    for service in &report.services {
        let name = &service.service;
        let svg = load::plot(&report.series, name);
        fs::write(folder.join(format!("{name}.svg")), svg)?;
    }
    Ok(())
}
