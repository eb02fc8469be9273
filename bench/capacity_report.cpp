/// Reads measured points ("point,SERIES,X,Y" lines) from standard input, fits a line to each
/// series, writes a plot of each as SVG and prints the tables of docs/CAPACITY.md.
#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(plots, "docs/plots", "folder for the plots");

namespace {

struct point {
    double x = 0;
    double y = 0;
};

/// A least-squares line through points.
struct line_fit {
    double slope = 0;
    double intercept = 0;
    double spread = 0; ///< Root of the mean squared distance.
    double last_x = 0;
    std::size_t points = 0;
};

using series_map = std::map<std::string, std::vector<point>>;

/// The aim's size, from the users' letter.
constexpr double workers = 19'000;
constexpr double starts_per_second = 9'600;
constexpr double running_tasks = 210'000;
constexpr double teams = 660;
constexpr double changes_per_day = 14'000;
constexpr double jobs_per_day = 270'000;
constexpr double zones = 24;
constexpr double regions = 7;
constexpr double seconds_per_day = 86'400;

/// Our choice at that size.
constexpr double workers_per_shard = 100;
constexpr double schedulers = 192; ///< Eight per zone.

series_map read_points()
{
    series_map series;
    std::string text;
    while (std::getline(std::cin, text)) {
        std::istringstream in(text);
        std::string word;
        std::string name;
        point one;
        char comma = 0;
        if (std::getline(in, word, ',') && word == "point" && std::getline(in, name, ',') &&
            in >> one.x >> comma >> one.y) {
            series[name].push_back(one);
        }
    }
    return series;
}

line_fit fit(const std::vector<point>& points)
{
    line_fit line;
    line.points = points.size();
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (const auto& one : points) {
        sum_x += one.x;
        sum_y += one.y;
        sum_xx += one.x * one.x;
        sum_xy += one.x * one.y;
        line.last_x = std::max(line.last_x, one.x);
    }
    const auto count = static_cast<double>(points.size());
    const auto width = count * sum_xx - sum_x * sum_x;
    line.slope = width > 0 ? (count * sum_xy - sum_x * sum_y) / width : 0;
    line.intercept = (sum_y - line.slope * sum_x) / count;
    double squares = 0;
    for (const auto& one : points) {
        squares += std::pow(one.y - line.intercept - line.slope * one.x, 2);
    }
    line.spread = std::sqrt(squares / count);
    return line;
}

/// Returns the fitted value at `x`.
double at(const series_map& series, const std::string& name, double x)
{
    const auto found = series.find(name);
    if (found == series.end()) {
        return NAN;
    }
    const auto line = fit(found->second);
    return line.intercept + line.slope * x;
}

double longest(const series_map& series, const std::string& name)
{
    const auto found = series.find(name);
    if (found == series.end()) {
        return NAN;
    }
    return std::ranges::max_element(found->second, {}, &point::y)->y;
}

double slope_of(const series_map& series, const std::string& name)
{
    const auto found = series.find(name);
    return found == series.end() ? NAN : fit(found->second).slope;
}

void write_plot(const std::string& name, const std::vector<point>& points, const line_fit& line)
{
    constexpr double width = 420;
    constexpr double height = 260;
    constexpr double margin = 50;
    double most_x = 1e-9;
    double most_y = 1e-9;
    for (const auto& one : points) {
        most_x = std::max(most_x, one.x);
        most_y = std::max(most_y, one.y);
    }
    const auto to_x = [&](double x) { return margin + x / most_x * (width - 2 * margin); };
    const auto to_y = [&](double y) {
        return height - margin - y / most_y * (height - 2 * margin);
    };
    std::ofstream out(FLAGS_plots + "/" + name + ".svg");
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" "
           "fill=\"white\"/>\n<text x=\"10\" y=\"16\">"
        << name << "</text>\n<path d=\"M" << margin << ' ' << margin << "V" << height - margin
        << "H" << width - margin << "\" fill=\"none\" stroke=\"black\"/>\n<text x=\""
        << width - margin << "\" y=\"" << height - margin + 16 << "\" text-anchor=\"end\">"
        << most_x << "</text>\n<text x=\"" << margin - 4 << "\" y=\"" << margin
        << "\" text-anchor=\"end\">" << most_y << "</text>\n<line x1=\"" << to_x(0) << "\" y1=\""
        << to_y(std::max(0.0, line.intercept)) << "\" x2=\"" << to_x(most_x) << "\" y2=\""
        << to_y(line.intercept + line.slope * most_x) << "\" stroke=\"#3366cc\"/>\n";
    for (const auto& one : points) {
        out << "<circle cx=\"" << to_x(one.x) << "\" cy=\"" << to_y(one.y)
            << "\" r=\"3\" fill=\"#cc3333\"/>\n";
    }
    out << "</svg>\n";
}

void print_fits(const series_map& series)
{
    std::puts("| series | points | intercept | slope | spread | measured to |");
    std::puts("|---|---|---|---|---|---|");
    for (const auto& [name, points] : series) {
        const auto line = fit(points);
        std::printf("| [%s](plots/%s.svg) | %zu | %.4g | %.4g | %.2g | %.4g |\n", name.c_str(),
                    name.c_str(), line.points, line.intercept, line.slope, line.spread,
                    line.last_x);
        write_plot(name, points, line);
    }
}

void print_line(const char* what, double figure, const char* unit, double bound)
{
    std::printf("| %s | %.3g %s | %.3g %s | %.2f |\n", what, figure, unit, bound, unit,
                figure / bound);
}

void print_budget(const series_map& series)
{
    const auto starts = starts_per_second / schedulers;
    const auto idle = at(series, "cpu_idle_by_workers", workers_per_shard);
    const auto cpu = idle + slope_of(series, "cpu_by_starts_per_s") * starts;
    const auto per_worker = cpu / workers_per_shard;
    const auto starts_per_worker = starts_per_second / workers;
    const auto bytes = at(series, "worker_bytes_by_starts_per_s", starts_per_worker);
    const auto tasks = running_tasks / schedulers;
    const auto memory = at(series, "rss_by_workers", workers_per_shard) +
                        slope_of(series, "rss_by_tasks") * tasks +
                        slope_of(series, "rss_by_teams") * teams;
    const auto per_change = at(series, "store_calls_per_change", 2);
    const auto reads = slope_of(series, "store_reads_by_schedulers") * schedulers / regions;
    const auto writes = slope_of(series, "store_writes_by_schedulers") * schedulers / regions;
    const auto changes = changes_per_day / seconds_per_day * per_change;
    const auto jobs = jobs_per_day / seconds_per_day * 4 / regions;
    std::puts("\n| line of the budget | at the aim's size | bound | ratio |");
    std::puts("|---|---|---|---|");
    print_line("control per worker, its share of a scheduler's processor", per_worker, "% core", 3);
    print_line("memory per worker, its share of a scheduler's", memory / workers_per_shard, "MB",
               64);
    print_line("bytes between a worker and its owner", bytes / 1000, "KB/s", 10);
    print_line("one scheduler of 100 workers: processor", cpu, "% core", 100);
    print_line("one scheduler of 100 workers: memory", memory, "MB", 2000);
    print_line("an entry at 1,200 calls/s (of 8)",
               at(series, "entry_cpu_by_starts_per_s", starts_per_second / 8), "% core", 100);
    print_line("store of one region: reads and watches",
               reads + changes + at(series, "waiting_watches_by_schedulers", schedulers / regions),
               "calls/s", 2000);
    print_line("store of one region: writes and renewals", writes + changes + jobs, "calls/s", 300);
    print_line("a contract in force",
               at(series, "apply_ms_by_schedulers", schedulers / regions) / 1000, "s", 4);
    print_line("urgent start, while the owner has just died (lease of 2 s; longest measured)",
               longest(series, "takeover_ms_by_workers") / 1000, "s", 2.5);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("fits measured points\nusage: capacity-report < POINTS");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto series = read_points();
    print_fits(series);
    print_budget(series);
    return 0;
}
